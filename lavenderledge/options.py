"""Problems with settings, in the form that all programs report."""

import typing


class Problem(typing.NamedTuple):
    """A setting that is missing or malformed."""

    flag: str
    variable: str
    detail: str

    def __str__(self) -> str:
        """Return the flag, the environment variable and the problem."""
        return f'{self.flag} ({self.variable}): {self.detail}'
