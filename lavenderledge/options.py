"""Problems with settings, as every program tells them."""

import typing


class Problem(typing.NamedTuple):
    """A setting that is missing or malformed."""

    flag: str
    variable: str
    detail: str

    def __str__(self) -> str:
        """Return the problem in words."""
        return f'{self.flag} ({self.variable}): {self.detail}'
