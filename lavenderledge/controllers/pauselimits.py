"""Log lines and a counter of replicas whose streams pause for too long."""

import logging
import typing
from collections import abc

from lavenderledge import logs
from lavenderledge.policy import slots

_LOGGER = logging.getLogger(__name__)

Record: typing.TypeAlias = abc.Callable[[slots.SlotState, float], None]


class _Limit(typing.NamedTuple):
    """Of a replica's slots, those in which streams are in time."""

    service: str
    sound_slots: int
    slots: int

    @property
    def is_set(self) -> bool:
        return self.sound_slots < self.slots


def build_recorder(instance: str, count: abc.Callable[..., None]) -> Record:
    """Return a function that logs and counts where slots are avoided.

    It gets an allocator's state and the monotonic time in seconds. A replica is
    logged when streams begin to avoid some of its slots, and when they use all
    of them again.
    """
    avoided: set[str] = set()

    def record(state: slots.SlotState, now_s: float) -> None:
        limits = dict(_read_limits(state, now_s))
        avoided.intersection_update(limits)
        for name, limit in limits.items():
            if limit.is_set == (name in avoided):
                continue
            avoided.symmetric_difference_update((name,))
            count('pause_limits', change='set' if limit.is_set else 'lifted')
            logs.write_event(
                _LOGGER,
                'pause_limit',
                instance=instance,
                replica=name,
                **limit._asdict(),
            )

    return record


def _read_limits(
    state: slots.SlotState, now_s: float
) -> abc.Iterator[tuple[str, _Limit]]:
    for service, owner in state.services.items():
        for name, replica in owner.replicas.items():
            sound_slots = replica.pause_risk.find_limit(now_s)
            yield name, _Limit(service, sound_slots, replica.info.slots)
