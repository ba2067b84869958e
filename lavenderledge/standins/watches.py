"""The open watch connections of the key-value stand-in."""

import asyncio
import contextlib
import datetime
from collections import abc

from starlette import types

from lavenderledge.standins import connection, gateway, protocol, store

_STREAM_HEADERS = [(b'content-type', b'application/json')]


class Stream:
    """One watch's connection: what waits to be sent on it."""

    def __init__(self) -> None:
        """Start live with nothing to send."""
        self.silent = False
        self._queue: asyncio.Queue[protocol.WatchResponse | None] = (
            asyncio.Queue()
        )

    def notify(self, answer: protocol.WatchResponse) -> None:
        """Queue one answer."""
        self._queue.put_nowait(answer)

    def end(self) -> None:
        """End the connection after what is queued."""
        self._queue.put_nowait(None)

    async def take(
        self, interval: datetime.timedelta | None
    ) -> protocol.WatchResponse | None:
        """Return the next answer, or nothing at the stream's end.

        Raises ``TimeoutError`` where none came within the interval.
        """
        limit_s = interval.total_seconds() if interval else None
        async with asyncio.timeout(limit_s):
            return await self._queue.get()


class Streams:
    """Every open watch connection."""

    def __init__(self, *, progress_interval: datetime.timedelta) -> None:
        """Take the time between progress notices of an idle watch."""
        self._progress_interval = progress_interval
        self._streams: set[Stream] = set()

    def silence(self) -> None:
        """Let every open watch deliver nothing more, for good."""
        for stream in self._streams:
            stream.silent = True

    def end(self) -> None:
        """End every open watch that is not silent."""
        for stream in self._streams:
            if not stream.silent:
                stream.end()

    def open(
        self, kept: store.Store, wanted: protocol.WatchRequest
    ) -> types.ASGIApp:
        """Return an answer that streams one watch."""

        async def respond(
            scope: types.Scope, receive: types.Receive, send: types.Send
        ) -> None:
            stream = Stream()
            progress = wanted.get('progress_notify', False)
            async with self._watching(kept, wanted, stream, receive) as closing:
                await self._send_all(stream, send, kept, progress)
                if stream.silent:
                    await closing

        return respond

    @contextlib.asynccontextmanager
    async def _watching(
        self,
        kept: store.Store,
        wanted: protocol.WatchRequest,
        stream: Stream,
        receive: types.Receive,
    ) -> abc.AsyncGenerator[asyncio.Task[None], None]:
        self._streams.add(stream)
        opened = kept.watch(wanted, stream.notify)
        if opened is None:
            stream.end()
        async with connection.calling_on_close(receive, stream.end) as closing:
            try:
                yield closing
            finally:
                self._streams.discard(stream)
                kept.close_watch(opened)

    async def _send_all(
        self,
        stream: Stream,
        send: types.Send,
        kept: store.Store,
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
        async for answer in _list_answers(stream, kept, interval):
            if stream.silent:
                return
            line = gateway.encode({'result': answer})
            await send(
                {
                    'type': 'http.response.body',
                    'body': b'%s\n' % line,
                    'more_body': True,
                }
            )
        if not stream.silent:
            await send({'type': 'http.response.body', 'body': b''})


async def _list_answers(
    stream: Stream, kept: store.Store, interval: datetime.timedelta | None
) -> abc.AsyncIterator[protocol.WatchResponse]:
    while True:
        try:
            answer = await stream.take(interval)
        except TimeoutError:
            answer = {'header': kept.header}
        if answer is None:
            return
        yield answer
