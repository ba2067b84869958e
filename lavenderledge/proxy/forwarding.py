"""Serves callers' requests, one exchange for each."""

import asyncio

from lavenderledge.http1 import messages, server
from lavenderledge.proxy import exchange, headercodec


class Forwarder:
    """Serves callers' requests."""

    def __init__(self, *, deps: exchange.Dependencies) -> None:
        """Create a forwarder that accepts requests."""
        self._refuses_all = False
        self._deps = deps
        self._running: set[exchange.Exchange] = set()

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
        self._running.add(current)
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
            self._running.discard(current)
