"""Keeps what an instance holds below the limit of its memory."""

import functools
import logging
import typing
from collections import abc

from lavenderledge import logs
from lavenderledge.daemon import metrics as meters
from lavenderledge.http1 import heldbytes, listener
from lavenderledge.policy import memorybudget
from lavenderledge.proxy import forwarding

_LOGGER = logging.getLogger(__name__)


class _Entry(typing.NamedTuple):
    holding: memorybudget.Holding
    shed: abc.Callable[[], None]


class Shedder:
    """Sheds uploads and requests of one listener, and reports the account."""

    def __init__(
        self,
        *,
        instance: str,
        account: heldbytes.Account,
        callers: listener.Listener,
        forwarder: forwarding.Forwarder,
        metrics: meters.Metrics,
    ) -> None:
        """Act on an account; ``start`` connects them."""
        self._instance = instance
        self._account = account
        self._callers = callers
        self._forwarder = forwarder
        self._metrics = metrics
        self._level = memorybudget.Level.NORMAL

    def start(self) -> None:
        """Be called when the limit is exceeded or a request refused."""
        self._account.shed = self.shed
        self._account.note_refusal = self._note_refusal

    def sweep(self) -> None:
        """Read waiting uploads on if there is room, and log a new level."""
        if not self._account.is_limited:
            return
        self._account.act()
        level = self._account.level
        if level is not self._level:
            self._level = level
            self._log(
                'memory_level',
                state=level.name.lower(),
                waiting=self._account.waiting_count,
            )

    def set_gauges(self) -> None:
        """Set the gauges of the account."""
        usage = self._account.usage
        for name, amount in (
            ('held_bytes', usage.held_bytes),
            ('held_unsent_bytes', usage.unsent_bytes),
            ('held_limit_bytes', self._account.thresholds.limit_bytes),
            ('uploads_waiting', self._account.waiting_count),
        ):
            self._metrics.set_gauge(name, amount)

    def shed(self) -> None:
        """Shed what exceeds the limit."""
        entries = self._list_entries()
        thresholds = self._account.thresholds
        excess_bytes = self._account.usage.held_bytes - thresholds.limit_bytes
        for index in memorybudget.choose_shed(
            [entry.holding for entry in entries], excess_bytes
        ):
            holding = entries[index].holding
            kind = holding.kind.name.lower()
            self._metrics.count('memory_shed', kind=kind)
            self._log(
                'memory_shed',
                kind=kind,
                rank=holding.rank,
                size_bytes=holding.size_bytes,
            )
            entries[index].shed()

    def _list_entries(self) -> list[_Entry]:
        return [
            *(
                _Entry(
                    upload.describe(),
                    functools.partial(upload.refuse_upload, 'shed'),
                )
                for upload in self._callers.list_uploads()
            ),
            *(
                _Entry(request.holding, request.shed)
                for request in self._forwarder.list_running()
            ),
        ]

    def _note_refusal(self, reason: str, size_bytes: int) -> None:
        self._metrics.count('memory_refusals', reason=reason)
        self._log('memory_refused', reason=reason, size_bytes=size_bytes)

    def _log(self, event: str, **fields: typing.Any) -> None:
        logs.write_event(
            _LOGGER,
            event,
            instance=self._instance,
            held_bytes=self._account.usage.held_bytes,
            **fields,
        )
