"""The cost of messages between instances, by kind and size."""

import asyncio
import typing

from lavenderledge.capacity import figures, samples
from lavenderledge.peers import benchmark, codec, messages

_BURST_SIZES: typing.Final = (1, 10)
_MESSAGE_COUNT: typing.Final = 400
_REPEATS: typing.Final = 5
_CODEC_CALLS: typing.Final = 500
_RUNNING_COUNTS: typing.Final = (5, 20, 100)
_REPLICAS: typing.Final = 28


def measure() -> list[figures.Figure]:
    """Return the figures of the codec and the link."""
    kinds: dict[str, messages.Message] = {}
    for size in _RUNNING_COUNTS:
        kinds.update(benchmark.list_samples(size))
    kinds['Release'] = messages.Release(
        'entry-0',
        samples.INCARNATION,
        samples.POOL,
        samples.make_spec(1).request_id,
        samples.OUTPUT_TOKENS,
    )
    found = []
    for name, message in kinds.items():
        found.extend(_measure_codec(name, message))
    found.extend(_measure_reports())
    found.extend(asyncio.run(_measure_links(kinds)))
    return found


def _measure_reports() -> list[figures.Figure]:
    """Return the size of reports, with a reading per replica in use."""
    points = {}
    for size in (0, *_RUNNING_COUNTS):
        replicas = [
            f'calculator-{number}' for number in range(min(size, _REPLICAS))
        ]
        report = messages.Report(
            sender='entry-0',
            incarnation=samples.INCARNATION,
            pool=samples.POOL,
            sequence=100,
            stamp_s=samples.SENT_AT_S,
            grant_seen=1,
            waiting=(),
            running=tuple(
                samples.make_running(number, replicas[number % len(replicas)])
                for number in range(size)
            ),
            readings=tuple(map(samples.make_reading, replicas)),
        )
        encoded = codec.encode(report).default_value(b'')
        points[size] = figures.build_figure(
            f'report on the wire: {size} running', 'B', [len(encoded)]
        )
    return figures.add_slope('report on the wire', 'B', points)


def _measure_codec(
    name: str, message: messages.Message
) -> list[figures.Figure]:
    encoded = codec.encode(message).default_value(b'')

    def encode(count: int) -> None:
        for _ in range(count):
            codec.encode(message)

    def decode(count: int) -> None:
        for _ in range(count):
            codec.decode(encoded)

    return [
        figures.build_figure(f'{name}: size', 'B', [len(encoded)]),
        figures.measure_time(f'{name}: encode', encode, count=_CODEC_CALLS),
        figures.measure_time(f'{name}: decode', decode, count=_CODEC_CALLS),
    ]


async def _measure_links(
    kinds: dict[str, messages.Message],
) -> list[figures.Figure]:
    pair = benchmark.LinkPair()
    await pair.open()
    found = []
    for name, message in kinds.items():
        for burst in _BURST_SIZES:
            costs = [
                await pair.measure(message, count=_MESSAGE_COUNT, burst=burst)
                for _ in range(_REPEATS + 1)
            ]
            found.append(
                figures.build_figure(
                    f'{name}: both ends, {burst} a wake-up',
                    'us',
                    [cost.loop + cost.io for cost in costs[1:]],
                )
            )
    await pair.close()
    return found
