"""The latest versions of the configuration, from which peers are updated."""

import collections
import typing

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import documentdeltas

# How many versions are kept. A storm of changes writes three in a second.
_MAX_VERSIONS: typing.Final = 16
# Larger updates are read from the store: a small instance would send them to
# all others for longer than a request for a grant may take.
_MAX_UPDATE_BYTES: typing.Final = 16_384


class Stored(typing.NamedTuple):
    """A version as the store has it: its revision, and the store's era."""

    version: int
    revision: int
    era: int
    content: bytes


class _Kept(typing.NamedTuple):
    stored: Stored
    pieces: documentdeltas.Pieces


class ConfigurationHistory:
    """Builds and applies updates between the versions that it has.

    Versions share the memory of what they have in common.
    """

    def __init__(self) -> None:
        """Start without versions."""
        self._kept: collections.OrderedDict[int, _Kept] = (
            collections.OrderedDict()
        )
        self._updates: dict[int, messages.ConfigurationUpdate | None] = {}

    def add(self, stored: Stored) -> None:
        """Add the newest version."""
        pieces = documentdeltas.split(stored.content)
        if self._kept:
            _, former = next(reversed(self._kept.values()))
            shared = {piece: piece for piece in former}
            pieces = tuple(shared.get(piece, piece) for piece in pieces)
        self._kept[stored.version] = _Kept(stored._replace(content=b''), pieces)
        self._updates.clear()
        while len(self._kept) > _MAX_VERSIONS:
            self._kept.popitem(last=False)

    def build_update(
        self, base_version: int
    ) -> messages.ConfigurationUpdate | None:
        """Return the update of a version, None if there is no small one."""
        if base_version not in self._updates:
            self._updates[base_version] = self._compute_update(base_version)
        return self._updates[base_version]

    def apply(self, update: messages.ConfigurationUpdate) -> Stored | None:
        """Return the updated version, None if its base is not known."""
        base = self._kept.get(update.base_version)
        if base is None:
            return None
        steps = tuple(documentdeltas.Step(*step) for step in update.steps)
        content = documentdeltas.apply(
            base.pieces, documentdeltas.Delta(steps, update.digest)
        )
        if content is None:
            return None
        return Stored(update.version, update.revision, update.era, content)

    def _compute_update(
        self, base_version: int
    ) -> messages.ConfigurationUpdate | None:
        base = self._kept.get(base_version)
        if base is None:
            return None
        newest = next(reversed(self._kept.values()))
        if newest.stored.version <= base_version:
            return None
        delta = documentdeltas.compute(base.pieces, newest.pieces)
        is_small = delta.size_bytes <= _MAX_UPDATE_BYTES
        if not is_small or len(delta.steps) > messages.MAX_STEPS:
            return None
        return messages.ConfigurationUpdate(
            base_version,
            newest.stored.version,
            newest.stored.revision,
            newest.stored.era,
            tuple(messages.UpdateStep(*step) for step in delta.steps),
            delta.digest,
        )
