"""A loopback proxy whose connections can be delayed, cut and silenced."""

import asyncio
import contextlib

PART_BYTES = 1 << 14


class Proxy:
    """Forwards one port to another, as its fields say at the moment.

    ``delay_s`` holds bytes up; ``silent`` swallows them in both directions,
    ``one_way`` only those of the answering side; new connections are refused
    while ``refusing``.
    """

    def __init__(self, target):
        self.target = target
        self.delay_s = 0
        self.silent = False
        self.one_way = False
        self.refusing = False
        self.port = 0
        self._server = None
        self._open = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    def heal(self):
        self.delay_s = 0
        self.silent = self.one_way = self.refusing = False

    def reset(self):
        """Break every open connection."""
        for writer in tuple(self._open):
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
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._open.update((writer, far_writer))
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, False)),
            asyncio.create_task(self._pump(far_reader, writer, True)),
        ]
        self._tasks.update(pumps)
        await asyncio.wait(pumps)
        self._tasks.difference_update(pumps)
        self._open.difference_update((writer, far_writer))

    async def _pump(self, reader, writer, answering):
        with contextlib.suppress(OSError):
            while part := await reader.read(PART_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.silent or (self.one_way and answering):
                    continue
                writer.write(part)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            # An end is passed on as a reset where something was swallowed.
            if self.silent or self.one_way:
                writer.transport.abort()
            else:
                writer.close()
