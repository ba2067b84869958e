"""Standard streams and environment variables of a program."""

import os
import sys
import typing
from collections import abc


class Environment:
    """The streams and environment variables that a program uses.

    Tests pass their own streams and variables to run a program in the test
    process.
    """

    def __init__(
        self,
        *,
        stdin: typing.TextIO | None = None,
        stdout: typing.TextIO | None = None,
        stderr: typing.TextIO | None = None,
        variables: abc.Mapping[str, str] | None = None,
    ) -> None:
        """Use the process's own stream or variables where none is given."""
        self.stdin = stdin or sys.stdin
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr
        self.variables = os.environ if variables is None else variables

    def write_error(
        self, *, program: str, message: str, hint: str | None = None
    ) -> None:
        """Write an error message, then the hint on a separate line."""
        self.stderr.write(f'{program}: error: {message}\n')
        if hint is not None:
            self.stderr.write(f'{program}: hint: {hint}\n')
