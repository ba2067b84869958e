"""Measures processor time and bytes per message between two links.

Run as ``python -m lavenderledge.peers.benchmark``. Both links run in this
process, with encryption; the time is that of all its threads, so it covers
sending, encrypting, decrypting and receiving of one message.
"""

import argparse
import asyncio
import sys
import time
import typing
from collections import abc

from lavenderledge import clock, environment, status
from lavenderledge.peers import codec, keys, link, messages

_MICROSECONDS = 1e6
_WARM_UP_MESSAGES = 200
_PREFIX_BLOCKS = 8
_HEADER = 'message           bytes  burst  total us  send us  loop us  io us\n'
_ROW = (
    '{name:<16} {size:>6} {burst:>6} {total:>9.1f} {send:>8.1f} '
    '{loop:>8.1f} {io:>6.1f}\n'
)


class Cost(typing.NamedTuple):
    """Processor time per message, in microseconds.

    ``loop`` is the event loop's thread, which includes ``send``, the time in
    ``PeerLink.send``; ``io`` is ZeroMQ's threads of both links.
    """

    send: float
    loop: float
    io: float


class LinkPair:
    """Two connected links; the second one signals what it received."""

    def __init__(self) -> None:
        """Create the links; needs a running loop."""
        self._arrived = asyncio.Event()
        self._pending = 0
        pair = keys.generate_pair()
        self._sender = self._make_link('sender', pair)
        self._receiver = self._make_link('receiver', pair)

    async def measure(
        self, message: messages.Message, *, count: int, burst: int
    ) -> Cost:
        """Return the cost of ``count`` sends, ``burst`` of them per wake-up."""
        send_s: float = 0
        process_s = time.process_time()
        loop_s = time.thread_time()
        for _ in range(count // burst):
            begin_s = time.thread_time()
            self._send(message, burst)
            send_s += time.thread_time() - begin_s
            await self._arrived.wait()
        loop_s = time.thread_time() - loop_s
        io_s = time.process_time() - process_s - loop_s
        scale = _MICROSECONDS / (count // burst * burst)
        return Cost(send=send_s * scale, loop=loop_s * scale, io=io_s * scale)

    async def open(self) -> None:
        """Connect the links."""
        self._sender.start()
        address = self._receiver.start().default_value('')
        self._sender.connect('receiver', address)

    async def close(self) -> None:
        """Close both links."""
        await self._sender.close()
        await self._receiver.close()

    def _make_link(self, name: str, pair: keys.KeyPair) -> link.PeerLink:
        return link.PeerLink(
            instance=name,
            listen='127.0.0.1:0',
            pair=pair,
            on_message=self._receive,
            count=_ignore,
            clock=clock.SystemClock(),
        )

    def _send(self, message: messages.Message, burst: int) -> None:
        self._pending = burst
        self._arrived.clear()
        for _ in range(burst):
            self._sender.send('receiver', _copy(message))

    def _receive(self, message: messages.Message) -> None:
        self._pending -= 1
        if self._pending == 0:
            self._arrived.set()


def main(args: abc.Sequence[str], env: environment.Environment) -> int:
    """Measure each message and print a row for it."""
    options = _build_parser().parse_args(args)
    asyncio.run(_measure_all(options, env.stdout))
    return status.ExitStatus.SUCCESS


async def _measure_all(
    options: argparse.Namespace, stream: typing.TextIO
) -> None:
    pair = LinkPair()
    await pair.open()
    stream.write(_HEADER)
    for name, message in list_samples(options.size).items():
        await pair.measure(message, count=_WARM_UP_MESSAGES, burst=1)
        cost = await pair.measure(
            message, count=options.messages, burst=options.burst
        )
        row = _ROW.format(
            name=name,
            size=len(codec.encode(message).default_value(b'')),
            burst=options.burst,
            total=cost.loop + cost.io,
            **cost._asdict(),
        )
        stream.write(row)
    await pair.close()


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='lavenderledge.peers.benchmark', description=__doc__
    )
    parser.add_argument('--messages', type=int, default=5000)
    parser.add_argument(
        '--size',
        type=int,
        default=20,
        help='running requests in the large report',
    )
    parser.add_argument(
        '--burst', type=int, default=1, help='messages per wake-up'
    )
    return parser


def list_samples(size: int) -> dict[str, messages.Message]:
    """Return messages by name; the large report has ``size`` requests."""
    spec = _make_spec()
    return {
        'NewAsk': messages.NewAsk('entry-0', 1, 'calculator', 1.5, spec),
        'Report-small': _make_report((spec,), 1),
        f'Report-{size}': _make_report((), size),
        'Grant': messages.Grant(
            'entry-0',
            'calculator',
            1,
            spec.request_id,
            'calculator-0',
            '127.0.0.1:8000',
            1.5,
        ),
        'Heartbeat-4': messages.Heartbeat('entry-0', _make_members(4)),
        'Heartbeat-65': messages.Heartbeat('entry-0', _make_members(65)),
    }


def _make_spec() -> messages.RequestSpec:
    digests = tuple(
        (block + 1) * 0x9E3779B97F4A7C15 % 2**64
        for block in range(_PREFIX_BLOCKS)
    )
    return messages.RequestSpec(
        request_id='resp_0123456789abcdef0123456789abcdef',
        row='lacing-plans',
        customer='wheelbuilder-guild',
        tier=1,
        weight=1.5,
        prompt_tokens=1200,
        output_tokens=900,
        prefix=digests,
        remaining_s=28.5,
        waited_s=0.25,
        preemptible=False,
        immediate=False,
    )


def _make_report(
    waiting: tuple[messages.RequestSpec, ...], running: int
) -> messages.Report:
    return messages.Report(
        sender='entry-0',
        incarnation=1796356800000,
        pool='calculator',
        sequence=100,
        stamp_s=12345.678,
        grant_seen=99,
        waiting=waiting,
        running=tuple(_make_running(number) for number in range(running)),
        readings=(
            messages.Reading('calculator-0', 40, 1.6, 2, 0.5, 900, 300, 0),
        ),
    )


def _make_running(number: int) -> messages.RunningRequest:
    return messages.RunningRequest(
        request_id=f'resp_0123456789abcdef0123456789ab{number:04x}',
        row='lacing-plans',
        customer='wheelbuilder-guild',
        tier=1,
        replica='calculator-0',
        prompt_tokens=1200,
        output_tokens=900,
        output_done=450,
        preemptible=False,
        started=True,
    )


def _make_members(count: int) -> tuple[messages.Member, ...]:
    return tuple(
        messages.Member(
            instance=f'lavenderledge-{number}',
            incarnation=1796356800000,
            heartbeat=172800,
            leaving=False,
            availability_zone='addis-a',
            address=f'10.11.12.{number}:7400',
            table_revision=12345,
        )
        for number in range(count)
    )


def _copy(message: messages.Message) -> messages.Message:
    # The link caches the encoding of the last object that it sent.
    return type(message)(*message)


def _ignore(name: str, **labels: object) -> None:
    """Discard a count."""


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:], environment.Environment()))
