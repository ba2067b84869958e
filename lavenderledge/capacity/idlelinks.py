"""What a link costs that carries nothing, and what its opening costs."""

import asyncio
import os
import typing

from lavenderledge import clock as clocks
from lavenderledge.capacity import figures
from lavenderledge.load import usage
from lavenderledge.peers import keys, link, messages

_POLL_S: typing.Final = 0.01

_LINKS: typing.Final = 50
_SETTLE_S: typing.Final = 2
_COUNTED_S: typing.Final = 8
_CHUNK_BYTES: typing.Final = 65_536
_REPEATS: typing.Final = 3


class Counter:
    """A TCP relay that counts the bytes of both directions."""

    def __init__(self, *, target: str) -> None:
        """Forward to ``host:port``."""
        self.total = 0
        self._target = target

    async def start(self) -> str:
        """Listen on a free port; return ``host:port``."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.rsplit(':', 1)
        upstream = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._copy(reader, upstream[1]), self._copy(upstream[0], writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            self.total += len(chunk)
            writer.write(chunk)
        writer.close()


def measure() -> list[figures.Figure]:
    """Return the figures of idle and opening links."""
    return asyncio.run(_measure())


async def _measure() -> list[figures.Figure]:
    arrived: list[messages.Message] = []
    pair = keys.generate_pair()
    receiver = _make_link('receiver', pair, arrived)
    sender = _make_link('sender', pair, arrived)
    address = receiver.start().default_value('')
    sender.start()
    counter = Counter(target=address)
    sender.connect('counted', await counter.start())
    sender.send('counted', messages.Preempt('sender', 'calculator', ''))
    idle = [await _count_idle(counter) for _ in range(_REPEATS)]
    opened = [
        await _open(sender, address, arrived, number)
        for number in range(_REPEATS)
    ]
    await sender.close()
    await receiver.close()
    return [
        figures.build_figure('idle link: both directions', 'B/s', idle),
        figures.build_figure(
            'link opened: both ends', 'us', [each[0] for each in opened]
        ),
        figures.build_figure(
            'link opened: memory of both ends',
            'B',
            [each[1] for each in opened],
        ),
    ]


async def _count_idle(counter: Counter) -> float:
    await asyncio.sleep(_SETTLE_S)
    before = counter.total
    await asyncio.sleep(_COUNTED_S)
    return (counter.total - before) / _COUNTED_S


async def _open(
    sender: link.PeerLink,
    address: str,
    arrived: list[messages.Message],
    number: int,
) -> tuple[float, float]:
    """Open some links; return microseconds and bytes of each."""
    resident = usage.read_process(os.getpid()).resident_bytes
    wanted = len(arrived) + _LINKS
    with figures.Stopwatch() as watch:
        for place in range(_LINKS):
            name = f'receiver-{number}-{place}'
            sender.connect(name, address)
            sender.send(name, messages.Preempt('sender', 'calculator', ''))
        while len(arrived) < wanted:
            await asyncio.sleep(_POLL_S)
    grown = usage.read_process(os.getpid()).resident_bytes - resident
    return watch.elapsed_us / _LINKS, grown / _LINKS


def _make_link(
    name: str, pair: keys.KeyPair, arrived: list[messages.Message]
) -> link.PeerLink:
    return link.PeerLink(
        instance=name,
        listen='127.0.0.1:0',
        pair=pair,
        on_message=arrived.append,
        count=_ignore,
        clock=clocks.SystemClock(),
    )


def _ignore(name: str, **labels: object) -> None:
    """Count nothing."""
