"""The traffic of an idle link, and the cost of opening a link."""

import asyncio
import os
import typing

from lavenderledge import clock as clocks
from lavenderledge.capacity import figures
from lavenderledge.load import usage
from lavenderledge.peers import keys, link, messages

_POLL_S: typing.Final = 0.01

_LINK_COUNT: typing.Final = 50
_SETTLE_S: typing.Final = 2
_MEASURED_S: typing.Final = 8
_CHUNK_BYTES: typing.Final = 65_536
_REPEATS: typing.Final = 3


class CountingRelay:
    """A TCP relay that counts the bytes in both directions."""

    def __init__(self, *, target: str) -> None:
        """Forward to ``host:port``."""
        self.total_bytes = 0
        self._target = target

    async def start(self) -> str:
        """Listen on a free port; return its ``host:port``."""
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
            self.total_bytes += len(chunk)
            writer.write(chunk)
        writer.close()


def measure() -> list[figures.Figure]:
    """Return the figures of idle and newly opened links."""
    return asyncio.run(_measure())


async def _measure() -> list[figures.Figure]:
    received: list[messages.Message] = []
    pair = keys.generate_pair()
    receiver = _make_link('receiver', pair, received)
    sender = _make_link('sender', pair, received)
    address = receiver.start().default_value('')
    sender.start()
    relay = CountingRelay(target=address)
    sender.connect('counted', await relay.start())
    sender.send('counted', messages.Preempt('sender', 'calculator', ''))
    idle = [await _measure_idle(relay) for _ in range(_REPEATS)]
    opened = [
        await _measure_opening(sender, address, received, number)
        for number in range(_REPEATS)
    ]
    await sender.close()
    await receiver.close()
    return [
        figures.build_figure('idle link: both directions', 'B/s', idle),
        figures.build_figure(
            'link opened: both ends', 'us', [cost[0] for cost in opened]
        ),
        figures.build_figure(
            'link opened: memory of both ends',
            'B',
            [cost[1] for cost in opened],
        ),
    ]


async def _measure_idle(relay: CountingRelay) -> float:
    await asyncio.sleep(_SETTLE_S)
    before = relay.total_bytes
    await asyncio.sleep(_MEASURED_S)
    return (relay.total_bytes - before) / _MEASURED_S


async def _measure_opening(
    sender: link.PeerLink,
    address: str,
    received: list[messages.Message],
    number: int,
) -> tuple[float, float]:
    """Open links; return the microseconds and bytes per link."""
    resident = usage.read_process(os.getpid()).resident_bytes
    expected = len(received) + _LINK_COUNT
    with figures.Stopwatch() as stopwatch:
        for index in range(_LINK_COUNT):
            name = f'receiver-{number}-{index}'
            sender.connect(name, address)
            sender.send(name, messages.Preempt('sender', 'calculator', ''))
        while len(received) < expected:
            await asyncio.sleep(_POLL_S)
    growth = usage.read_process(os.getpid()).resident_bytes - resident
    return stopwatch.elapsed_us / _LINK_COUNT, growth / _LINK_COUNT


def _make_link(
    name: str, pair: keys.KeyPair, received: list[messages.Message]
) -> link.PeerLink:
    return link.PeerLink(
        instance=name,
        listen='127.0.0.1:0',
        pair=pair,
        on_message=received.append,
        count=_ignore,
        clock=clocks.SystemClock(),
    )


def _ignore(name: str, **labels: object) -> None:
    """Count nothing."""
