"""The kinds of stand-ins and their options, as data."""

import argparse
import datetime
import math
import typing
from collections import abc

from starlette import types

from lavenderledge import clock as clocks
from lavenderledge.standins import (
    batch,
    demo,
    engines,
    engineapp,
    instancelist,
    keyvalue,
    plain,
    server,
)


class Option(typing.NamedTuple):
    """One flag; ``parse`` raises ``ValueError`` where its text is wrong."""

    flag: str
    parse: abc.Callable[[str], typing.Any]
    default: str
    summary: str
    choices: tuple[str, ...] | None = None


class Kind(typing.NamedTuple):
    """One kind of program: its flags, and what runs it until it ends."""

    name: str
    summary: str
    options: tuple[Option, ...]
    run: server.Run


class Address(typing.NamedTuple):
    """Where to listen."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address in HOST:PORT; raises ``ValueError``."""
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'not HOST:PORT: {text}')
    return Address(host, int(port))


def parse_seconds(text: str) -> datetime.timedelta:
    """Return a duration of seconds, zero or more; raises ``ValueError``."""
    seconds = _parse_finite(text)
    if seconds < 0:
        raise ValueError(f'less than 0: {text}')
    return datetime.timedelta(seconds=seconds)


def parse_count(text: str) -> int:
    """Return a number of one or more; raises ``ValueError``."""
    number = int(text)
    if number < 1:
        raise ValueError(f'less than 1: {text}')
    return number


def parse_rate(text: str) -> float:
    """Return a number greater than zero; raises ``ValueError``."""
    number = _parse_finite(text)
    if number <= 0:
        raise ValueError(f'not above 0: {text}')
    return number


def _parse_finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'not finite: {text}')
    return number


def _build_keyvalue(args: argparse.Namespace) -> types.ASGIApp:
    return keyvalue.build_app(
        keyvalue.KeyValue(
            clock=clocks.SystemClock(),
            progress_interval=args.progress_interval_s,
        )
    )


def _build_instancelist(args: argparse.Namespace) -> types.ASGIApp:
    return instancelist.build_app(
        instancelist.InstanceList(
            clock=clocks.SystemClock(), lag_s=args.lag_s.total_seconds()
        )
    )


def read_settings(args: argparse.Namespace) -> engines.Settings:
    """Return an engine's settings from its parsed flags."""
    return engines.Settings(
        model=args.model,
        replica=args.replica,
        speed=batch.Speed(
            token_gap_s=args.token_gap_s,
            knee=args.knee,
            prefill_rate=args.prefill_rate,
            max_running=args.max_running,
        ),
        cache_blocks=args.cache_blocks,
        block_tokens=args.block_tokens,
        load_lag=args.load_lag_s,
        cache_event_lag=args.cache_event_lag_s,
        orphan_timeout=args.orphan_s,
        fencing=args.fencing,
    )


def _build_engine(args: argparse.Namespace) -> types.ASGIApp:
    return engineapp.build_app(
        engines.Engine(clock=clocks.SystemClock(), settings=read_settings(args))
    )


def _build_plain(args: argparse.Namespace) -> types.ASGIApp:
    return plain.build_app(
        plain.PlainService(
            clock=clocks.SystemClock(),
            name=args.name,
            call_duration=args.work_s,
        )
    )


_LISTEN = Option(
    '--listen',
    parse_address,
    '127.0.0.1:0',
    'HOST:PORT to listen on; port 0 takes a free one',
)

KINDS = (
    Kind(
        'keyvalue',
        "key-value service with etcd v3's JSON gateway",
        (
            _LISTEN,
            Option(
                '--progress-interval-s',
                parse_seconds,
                '1',
                'seconds between progress notices of an idle watch',
            ),
        ),
        server.serve_until_stopped(_build_keyvalue),
    ),
    Kind(
        'instancelist',
        'instance list as EndpointSlice JSON',
        (
            _LISTEN,
            Option(
                '--lag-s',
                parse_seconds,
                '0',
                'seconds until a change is seen',
            ),
        ),
        server.serve_until_stopped(_build_instancelist),
    ),
    Kind(
        'engine',
        'model engine that batches continuously',
        (
            _LISTEN,
            Option('--model', str, 'calculator', 'name of the model'),
            Option('--replica', str, 'calculator-0', 'name of the replica'),
            Option(
                '--token-gap-s',
                parse_rate,
                '0.01',
                'seconds between tokens of a lone request',
            ),
            Option(
                '--knee',
                parse_count,
                '16',
                'batch up to which the gap is about constant',
            ),
            Option(
                '--prefill-rate', parse_rate, '8000', 'prompt tokens a second'
            ),
            Option('--max-running', parse_count, '256', 'largest batch'),
            Option(
                '--cache-blocks', parse_count, '4096', 'blocks in the cache'
            ),
            Option('--block-tokens', parse_count, '16', 'tokens of a block'),
            Option(
                '--load-lag-s',
                parse_seconds,
                '1',
                'age of the reported load in seconds',
            ),
            Option(
                '--cache-event-lag-s',
                parse_seconds,
                '0.5',
                'age of the published cache events in seconds',
            ),
            Option(
                '--orphan-s',
                parse_seconds,
                '5',
                'seconds that a request runs on without a connection',
            ),
            Option(
                '--fencing',
                str,
                'checked',
                'whether an old fencing number is refused',
                ('checked', 'ignored'),
            ),
        ),
        server.serve_until_stopped(_build_engine),
    ),
    Kind(
        'plain',
        'plain service that echoes and counts the runs of each key',
        (
            _LISTEN,
            Option('--name', str, 'orders', 'name of the service'),
            Option(
                '--work-s',
                parse_seconds,
                '0.01',
                'seconds that each call takes',
            ),
        ),
        server.serve_until_stopped(_build_plain),
    ),
    Kind(
        'demo',
        'run a whole fleet on stand-ins and show what it does',
        (),
        demo.run,
    ),
)
