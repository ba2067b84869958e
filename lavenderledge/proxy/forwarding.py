"""Serves callers' requests, one exchange for each."""

import asyncio
import functools
import typing
from collections import abc

from lavenderledge.http1 import messages, server
from lavenderledge.policy import memorybudget, routes
from lavenderledge.proxy import exchange, headercodec

# How long a caller should wait after a refusal for want of memory: uploads take
# seconds.
_RETRY_AFTER_S: typing.Final = 1.0
_UNKNOWN_RANK: typing.Final = routes.ROUTE_TIERS


class RunningRequest(typing.NamedTuple):
    """A request without a complete answer; ``shed`` ends it now."""

    holding: memorybudget.Holding
    shed: abc.Callable[[], None]


class Forwarder:
    """Serves callers' requests."""

    def __init__(self, *, deps: exchange.Dependencies) -> None:
        """Create a forwarder that accepts requests."""
        self._refuses_all = False
        self._deps = deps
        self._running: dict[exchange.Exchange, asyncio.Task[typing.Any]] = {}

    def set_age_limits(self, age_limits: exchange.AgeLimits) -> None:
        """Set the age limits for new requests."""
        self._deps = self._deps._replace(age_limits=age_limits)

    def refuse_all(self) -> None:
        """Refuse new requests, and those that have not been sent yet."""
        self._refuses_all = True
        self._deps.requester.refuse_first_attempts('stopping')

    def abandon_all(self) -> None:
        """Answer the requests that still run, without promising anything."""
        for running in tuple(self._running):
            running.abandon('stopping')

    async def serve(
        self, request: messages.Request, reply: server.Reply
    ) -> None:
        """Handle one request."""
        deps = self._deps
        parsed = deps.header_codec.parse_request(request)
        if isinstance(parsed, headercodec.MalformedRequest):
            deps.metrics.count('refusals', reason='malformed', outcome='')
            reply.send(parsed.status, (), b'')
            return
        current = exchange.Exchange(
            deps=deps, request=request, reply=reply, parsed=parsed
        )
        if self._refuses_all:
            current.refuse(messages.UNAVAILABLE, 'stopping', 0)
            return
        self._running[current] = _find_task()
        try:
            await current.run()
        except asyncio.CancelledError:
            if not current.is_finished:
                current.log(exchange.Ending(0, 'caller_left', ''))
            raise
        except Exception:
            current.abandon('handler_failed')
            raise
        finally:
            self._running.pop(current)

    def list_running(self) -> list[RunningRequest]:
        """Return the requests that have no complete answer yet.

        One whose caller still reads an earlier answer on the same connection is
        left out: to end it would cut that answer.
        """
        return [
            RunningRequest(
                current.describe(), functools.partial(self._shed, current, task)
            )
            for current, task in self._running.items()
            if not (current.is_finished or current.is_behind_another)
        ]

    def inspect(self, request: messages.Request) -> server.Inspection:
        """Return what the head of a request tells before it is handled."""
        codec = self._deps.header_codec
        parsed = codec.parse_request(request)
        if isinstance(parsed, headercodec.MalformedRequest):
            return server.Inspection(
                _UNKNOWN_RANK, ((b'Retry-After', b'%.3f' % _RETRY_AFTER_S),)
            )
        fields = codec.build_local_fields(parsed.request_id, _RETRY_AFTER_S)
        return server.Inspection(self._find_rank(parsed), fields)

    def _find_rank(self, parsed: headercodec.ParsedRequest) -> int:
        current = self._deps.configuration.current
        if current is None:
            return _UNKNOWN_RANK
        found = routes.match_request(
            current, host=parsed.host, path=parsed.path, key=parsed.key
        )
        if isinstance(found, routes.Rejection):
            return _UNKNOWN_RANK
        return found.rank

    def _shed(
        self, current: exchange.Exchange, task: asyncio.Task[typing.Any]
    ) -> None:
        """End a request; one that may have run gets no status "not run"."""
        if current.has_begun:
            current.abandon('memory', messages.BAD_GATEWAY)
        else:
            current.refuse(messages.UNAVAILABLE, 'memory', _RETRY_AFTER_S)
        # Its body is held until its task has ended.
        task.cancel()


def _find_task() -> asyncio.Task[typing.Any]:
    """Return the current task, which no frame of it should refer to.

    A cancelled task keeps its exception, and with it the frames and all that
    they hold, until a collection.
    """
    task = asyncio.current_task()
    assert task is not None
    return task
