"""What a watch on the key-value service tells."""

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
    """The watch lives and has told everything up to a revision."""

    revision: int


WatchEvent: typing.TypeAlias = Changed | Removed | Progress
