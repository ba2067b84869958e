"""Events of a watch on the key-value service."""

import typing

from lavenderledge.registry import operations


class Changed(typing.NamedTuple):
    """A watched key was written."""

    entry: operations.Entry


class Removed(typing.NamedTuple):
    """A watched key was deleted at a revision."""

    key: str
    revision: int


class Progress(typing.NamedTuple):
    """Every event up to a revision has been sent."""

    revision: int


WatchEvent: typing.TypeAlias = Changed | Removed | Progress
