"""The streams and settings that a program runs with."""

import os
import sys
import typing
from collections import abc


class Environment:
    """Everything a program takes from the process around it.

    Tests pass streams and variables of their own, so that a program runs
    inside the test's process.
    """

    def __init__(
        self,
        *,
        stdin: typing.TextIO | None = None,
        stdout: typing.TextIO | None = None,
        stderr: typing.TextIO | None = None,
        variables: abc.Mapping[str, str] | None = None,
    ) -> None:
        """Take each stream from the process where none is given."""
        self.stdin = stdin or sys.stdin
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr
        self.variables = os.environ if variables is None else variables

    def write_error(
        self, *, program: str, message: str, hint: str | None = None
    ) -> None:
        """Write one error, and its hint on a line of its own."""
        self.stderr.write(f'{program}: error: {message}\n')
        if hint is not None:
            self.stderr.write(f'{program}: hint: {hint}\n')
