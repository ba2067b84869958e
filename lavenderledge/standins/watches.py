"""The open watch connections of the key-value stand-in."""

import asyncio
import contextlib
import datetime
from collections import abc

from starlette import types

from lavenderledge.standins import connection, gateway, protocol, store

_STREAM_HEADERS = [(b'content-type', b'application/json')]


class Stream:
    """One watch connection and its queue of responses."""

    def __init__(self) -> None:
        """Create a connection with an empty queue."""
        self.silent = False
        self._queue: asyncio.Queue[protocol.WatchResponse | None] = (
            asyncio.Queue()
        )

    def notify(self, response: protocol.WatchResponse) -> None:
        """Queue one response."""
        self._queue.put_nowait(response)

    def end(self) -> None:
        """End the connection after the queued responses."""
        self._queue.put_nowait(None)

    async def take(
        self, interval: datetime.timedelta | None
    ) -> protocol.WatchResponse | None:
        """Return the next response, or ``None`` at the end of the stream.

        Raises ``TimeoutError`` if none arrives within the interval.
        """
        limit_s = interval.total_seconds() if interval else None
        async with asyncio.timeout(limit_s):
            return await self._queue.get()


class Streams:
    """Every open watch connection."""

    def __init__(self, *, progress_interval: datetime.timedelta) -> None:
        """Set the interval of progress notifications of an idle watch."""
        self._progress_interval = progress_interval
        self._streams: set[Stream] = set()

    def silence(self) -> None:
        """Silence every open watch; it delivers nothing more."""
        for stream in self._streams:
            stream.silent = True

    def end(self) -> None:
        """End every open watch that is not silent."""
        for stream in self._streams:
            if not stream.silent:
                stream.end()

    def open(
        self, state: store.Store, request: protocol.WatchRequest
    ) -> types.ASGIApp:
        """Return an ASGI app that streams one watch."""

        async def respond(
            scope: types.Scope, receive: types.Receive, send: types.Send
        ) -> None:
            stream = Stream()
            progress = request.get('progress_notify', False)
            async with self._watching(
                state, request, stream, receive
            ) as closing:
                await self._send_all(stream, send, state, progress)
                if stream.silent:
                    await closing

        return respond

    @contextlib.asynccontextmanager
    async def _watching(
        self,
        state: store.Store,
        request: protocol.WatchRequest,
        stream: Stream,
        receive: types.Receive,
    ) -> abc.AsyncGenerator[asyncio.Task[None], None]:
        self._streams.add(stream)
        watch = state.watch(request, stream.notify)
        if watch is None:
            stream.end()
        async with connection.calling_on_close(receive, stream.end) as closing:
            try:
                yield closing
            finally:
                self._streams.discard(stream)
                state.close_watch(watch)

    async def _send_all(
        self,
        stream: Stream,
        send: types.Send,
        state: store.Store,
        progress: bool,
    ) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': _STREAM_HEADERS,
            }
        )
        interval = self._progress_interval if progress else None
        async for response in _receive_responses(stream, state, interval):
            if stream.silent:
                return
            line = gateway.encode({'result': response})
            await send(
                {
                    'type': 'http.response.body',
                    'body': b'%s\n' % line,
                    'more_body': True,
                }
            )
        if not stream.silent:
            await send({'type': 'http.response.body', 'body': b''})


async def _receive_responses(
    stream: Stream, state: store.Store, interval: datetime.timedelta | None
) -> abc.AsyncIterator[protocol.WatchResponse]:
    while True:
        try:
            response = await stream.take(interval)
        except TimeoutError:
            response = {'header': state.header}
        if response is None:
            return
        yield response
