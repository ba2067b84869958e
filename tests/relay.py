"""A TCP relay with which tests reset, stall or refuse connections."""

import asyncio
import contextlib

_CHUNK_BYTES = 65536


class Relay:
    """Forwards connections from a free loopback port to a target.

    ``target`` is ``host:port`` and may be changed; new connections use it.
    """

    def __init__(self, *, target: str) -> None:
        self.target = target
        self.accepted = 0
        self._address = ''
        self._blocked = False
        self._server: asyncio.Server | None = None
        self._pipes: set[_Pipe] = set()

    @property
    def address(self) -> str:
        return self._address

    def count_open(self) -> int:
        """Return how many connections are open."""
        return len(self._pipes)

    async def start(self) -> str:
        """Listen, and return ``host:port``; the port never changes."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self._address = f'{host}:{port}'
        return self._address

    def cut(self) -> None:
        """Reset all open connections."""
        for pipe in tuple(self._pipes):
            pipe.reset()

    def silence(self) -> None:
        """Discard all further bytes of the open connections."""
        for pipe in self._pipes:
            pipe.silent = True

    def block(self) -> None:
        """Reset new connections as soon as they are accepted."""
        self._blocked = True

    def unblock(self) -> None:
        """Forward new connections again."""
        self._blocked = False

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.cut()
        while self._pipes:
            await asyncio.sleep(0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self._blocked:
            writer.transport.abort()
            return
        host, port = self.target.rsplit(':', 1)
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe(writers=(writer, upstream[1]))
        self._pipes.add(pipe)
        await asyncio.gather(
            pipe.copy(reader, upstream[1]), pipe.copy(upstream[0], writer)
        )
        pipe.reset()
        self._pipes.discard(pipe)


class _Pipe:
    """One forwarded connection."""

    def __init__(self, *, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self.silent = False
        self._writers = writers

    def reset(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if not self.silent:
                    writer.write(chunk)
                    await writer.drain()
        # If a silent connection is closed on one side, the other stays open.
        if not self.silent:
            self.reset()
