"""A replica that answers with raw bytes, also with ones that are no answer."""

import asyncio
import json
import socket
import struct

# More than any limit and the sockets' buffers together.
_ENDLESS_BYTES = 64_000_000
_PIECE_BYTES = 65_536


class RawReplica:
    """Answers each request with ``build(request_id)``, then ends as told.

    ``ending``: ``close`` ends the connection in order, ``reset`` resets it,
    ``endless`` repeats ``filler`` until the other side closes.
    """

    def __init__(self, name, build, *, ending='close', filler=b''):
        self.name = name
        self.requests = 0
        self.sent_bytes = 0
        self._build = build
        self._ending = ending
        self._filler = filler
        self._server = None

    async def start(self, fleet):
        """Listen, and register in the fleet's store."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        entry = {
            'service': 'model',
            'address': f'127.0.0.1:{port}',
            'zone': 'a',
            'capacity': 4,
            'state': 'ready',
        }
        fleet.store.write(f'servers/{self.name}', json.dumps(entry).encode())

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            fields = dict(
                line.lower().split(b': ', 1)
                for line in head.split(b'\r\n')[1:]
                if line
            )
            writer.write(self._build(fields[b'attempt-id']))
            await writer.drain()
            if self._ending == 'endless':
                await self._repeat(writer)
            elif self._ending == 'reset':
                await asyncio.sleep(0.05)
                reset(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _repeat(self, writer):
        piece = self._filler * (_PIECE_BYTES // len(self._filler))
        while self.sent_bytes < _ENDLESS_BYTES:
            writer.write(piece)
            await writer.drain()
            self.sent_bytes += len(piece)


def reset(writer):
    """Close a connection with a reset, unless the other side has closed it."""
    if writer.is_closing():
        return
    raw_socket = writer.get_extra_info('socket')
    no_linger = struct.pack('ii', 1, 0)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


def build_head(request_id, *fields, status=b'200 OK', seal=True):
    """Return a response's head without framing fields."""
    lines = [b'HTTP/1.1 ' + status, b'Attempt-Id: ' + request_id, *fields]
    if seal:
        lines.append(b'Response-Seal: s')
    return b'\r\n'.join((*lines, b'', b''))
