"""A replica that answers before it has received the whole request."""

import asyncio
import contextlib
import socket
import struct

_READ_BYTES = 65536


class EarlyReplica:
    """Sends the same bytes on each connection, then ends it as told.

    ``ending``: ``close`` and ``reset`` end the connection, ``half_close`` ends
    only its own side and reads the rest of the request. All that has arrived
    is read before, so that ``close`` does not reset the connection by itself.
    """

    def __init__(self, answer, ending):
        self.received_bytes = 0
        self._answer = answer
        self._ending = ending
        self._socket = socket.create_server(('127.0.0.1', 0))
        self._socket.setblocking(False)
        self._tasks = []

    @property
    def address(self):
        return f'127.0.0.1:{self._socket.getsockname()[1]}'

    @contextlib.asynccontextmanager
    async def running(self, *, is_early=False):
        """Answer each request when its head has arrived.

        With ``is_early``, ``answer`` is called for each connection instead.
        """
        if not is_early:
            self._tasks.append(asyncio.create_task(self._serve()))
        try:
            yield self
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            self._socket.close()

    def answer(self, connection=None):
        """Answer on an open connection at once, before any event is handled."""
        if connection is None:
            connection, _ = self._socket.accept()
            connection.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while data := connection.recv(_READ_BYTES):
                self.received_bytes += len(data)
        connection.send(self._answer)
        if self._ending == 'half_close':
            connection.shutdown(socket.SHUT_WR)
            self._tasks.append(asyncio.create_task(self._drain(connection)))
            return True
        if self._ending == 'reset':
            no_linger = struct.pack('ii', 1, 0)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, no_linger
            )
        connection.close()
        return True

    async def _serve(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._socket)
            connection.setblocking(False)
            head = b''
            while b'\r\n\r\n' not in head:
                head += await loop.sock_recv(connection, _READ_BYTES)
            self.received_bytes = len(head)
            self.answer(connection)

    async def _drain(self, connection):
        loop = asyncio.get_running_loop()
        with connection, contextlib.suppress(ConnectionError):
            while await loop.sock_recv(connection, _READ_BYTES):
                continue
