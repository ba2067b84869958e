"""Serves callers' requests, each by an exchange of its own."""

import asyncio

from lavenderledge.http1 import messages, server
from lavenderledge.proxy import headercodec, exchange


class Forwarder:
    """Serves callers' requests."""

    def __init__(self, *, tools: exchange.Dependencies) -> None:
        """Serve with the given beliefs and slots."""
        self.refuses_all = False
        self._tools = tools

    def set_age_limits(self, settings: exchange.AgeLimits) -> None:
        """Serve what comes from now on with other bounds."""
        self._tools = self._tools._replace(settings=settings)

    async def serve(
        self, request: messages.Request, reply: server.Reply
    ) -> None:
        """Answer one request."""
        tools = self._tools
        call = tools.header_codec.parse_request(request)
        if isinstance(call, headercodec.MalformedRequest):
            tools.metrics.count('refusals', reason='malformed', outcome='')
            reply.send(call.status, (), b'')
            return
        current = exchange.Exchange(
            tools=tools, request=request, reply=reply, call=call
        )
        if self.refuses_all:
            current.refuse(messages.UNAVAILABLE, 'stopping', 0)
            return
        try:
            await current.run()
        except asyncio.CancelledError:
            current.log(exchange.Ending(0, 'caller_left', ''))
            raise
