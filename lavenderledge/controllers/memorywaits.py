"""Log lines and a counter of requests that wait for memory of replicas."""

import logging
from collections import abc

from lavenderledge import logs
from lavenderledge.policy import replicamemory

_LOGGER = logging.getLogger(__name__)


def build_recorder(
    instance: str, count: abc.Callable[..., None]
) -> abc.Callable[[abc.Iterable[replicamemory.Wait]], None]:
    """Return a function that logs and counts waits of an allocator."""

    def record(waits: abc.Iterable[replicamemory.Wait]) -> None:
        for wait in waits:
            count('memory_waits', service=wait.service)
            logs.write_event(
                _LOGGER,
                'memory_waited',
                instance=instance,
                id=wait.request_id,
                service=wait.service,
                replica=wait.replica,
                tokens=wait.tokens,
                free_tokens=wait.free_tokens,
            )

    return record
