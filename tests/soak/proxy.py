"""A loopback TCP proxy that delays, drops and resets connections."""

import asyncio
import contextlib

CHUNK_BYTES = 1 << 14


class Proxy:
    """Forwards connections to ``target`` and injects faults.

    ``delay_s`` delays each chunk. ``silent`` drops the bytes of both
    directions, ``one_way`` only those from the target. ``refusing`` refuses
    new connections. ``bytes_per_s`` limits the rate of each direction, 0 does
    not.
    """

    def __init__(self, target, *, bytes_per_s=0):
        self.target = target
        self.bytes_per_s = bytes_per_s
        self.delay_s = 0
        self.silent = False
        self.one_way = False
        self.refusing = False
        self.port = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    def clear_faults(self):
        self.delay_s = 0
        self.silent = self.one_way = self.refusing = False

    def reset(self):
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def stop(self):
        self._server.close()
        self.reset()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, target_writer))
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, False)),
            asyncio.create_task(self._pump(target_reader, writer, True)),
        ]
        self._tasks.update(pumps)
        await asyncio.wait(pumps)
        self._tasks.difference_update(pumps)
        self._writers.difference_update((writer, target_writer))

    async def _pump(self, reader, writer, from_target):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.bytes_per_s:
                    await asyncio.sleep(len(chunk) / self.bytes_per_s)
                if self.silent or (self.one_way and from_target):
                    continue
                writer.write(chunk)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            # Bytes may have been dropped, so a close is forwarded as a reset.
            if self.silent or self.one_way:
                writer.transport.abort()
            else:
                writer.close()
