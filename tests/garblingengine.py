"""An engine whose first answer to each response holds foreign bytes."""

import asyncio
import contextlib
import json

from lavenderledge.standins import launcher
from tests import rawreplica

NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
FRAMINGS = ('chunked', 'length', 'unframed')
ENDINGS = ('closed', 'incomplete', 'reset')
# More than any limit and the sockets' buffers together.
ENDLESS_BYTES = 64_000_000
_PIECE_BYTES = 65_536


def format_event(number, kind, **fields):
    document = {'type': kind, 'sequence_number': number, **fields}
    return f'event: {kind}\ndata: {json.dumps(document)}\n\n'.encode()


def build_events(response_id):
    """Return the events of a whole response."""
    response = {'id': response_id, 'status': 'completed'}
    return (
        format_event(0, 'response.created', response={'id': response_id}),
        format_event(1, 'response.output_text.delta', delta='one '),
        format_event(2, 'response.output_text.delta', delta='two '),
        format_event(3, 'response.completed', response=response),
    )


def build_chunk(part):
    return b'%x\r\n%b\r\n' % (len(part), part)


def frame(parts, framing, ending):
    """Return an answer's bytes; an incomplete one lacks its framing's end."""
    is_whole = ending == 'closed'
    if framing == 'chunked':
        chunks = b''.join(build_chunk(part) for part in parts if part)
        end = b'0\r\n\r\n' if is_whole else b''
        return HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + chunks + end
    body = b''.join(parts)
    if framing == 'length':
        length = len(body) + (0 if is_whole else 9)
        return HEAD + b'Content-Length: %d\r\n\r\n' % length + body
    return HEAD + b'\r\n' + body


async def read_request(head, reader):
    """Return the document of a request whose head has been read."""
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    return json.loads(await reader.readexactly(length))


class GarblingEngine:
    """Answers a creation with ``build(events)``, framed as its input says.

    The input is ``framing/ending``. Requests for the remaining events get
    them in full, or 404 unless ``can_resume``. ``resumed`` has the queries
    of these requests, ``response_ids`` each response's id by its request's.
    ``filler`` is repeated after an answer's bytes until the other side
    closes.
    """

    def __init__(self):
        self.build = None
        self.filler = b''
        self.can_resume = True
        self.garbles_resumed = False
        self.resumed = []
        self.response_ids = {}
        self.sent_bytes = 0

    async def publish(self, fleet, name='odd-0'):
        """Listen, and register as a replica of the pool ``odd``."""
        listening = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = listening.sockets[0].getsockname()
        await fleet.publish_upstream(
            launcher.Upstream(name, 'odd', 'engine', 'a', f'{host}:{port}')
        )
        return listening

    async def _serve(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            await self._answer(reader, writer)

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        target = head.split(b' ')[1].decode()
        path, _, query = target.partition('?')
        if path == '/v1/responses':
            await self._answer_creation(head, reader, writer)
        elif query and self.can_resume:
            self.resumed.append(query)
            after = int(query.partition('starting_after=')[2] or -1)
            rest = build_events(path.rpartition('/')[2])[after + 1 :]
            if self.garbles_resumed:
                rest = (self.filler,)
            await self._write(writer, frame(rest, 'chunked', 'closed'))
        else:
            await self._write(writer, NOT_FOUND)

    async def _answer_creation(self, head, reader, writer):
        request = await read_request(head, reader)
        response_id = request['request_id']
        self.response_ids[response_id.rpartition(':')[2]] = response_id
        framing, ending = request['input'].split('/')
        parts = self.build(build_events(response_id))
        if isinstance(parts, bytes):
            await self._write(writer, parts)
        else:
            await self._write(writer, frame(parts, framing, ending))
        if self.filler and not self.garbles_resumed:
            await self._repeat(writer)
        if ending == 'reset':
            await asyncio.sleep(0.05)
            rawreplica.reset(writer)

    async def _repeat(self, writer):
        piece = self.filler * max(_PIECE_BYTES // len(self.filler), 1)
        while self.sent_bytes < ENDLESS_BYTES:
            await self._write(writer, piece)
            self.sent_bytes += len(piece)

    async def _write(self, writer, part):
        writer.write(part)
        await writer.drain()
