"""The kinds of stand-ins and their command-line options."""

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
    engineapp,
    engines,
    instancelist,
    keyvalue,
    plain,
    server,
)


class Option(typing.NamedTuple):
    """One flag; ``parse`` raises ``ValueError`` on invalid text."""

    flag: str
    parse: abc.Callable[[str], typing.Any]
    default: str
    summary: str
    choices: tuple[str, ...] | None = None


class Kind(typing.NamedTuple):
    """One kind of program: its flags and the function that runs it."""

    name: str
    summary: str
    options: tuple[Option, ...]
    run: server.Run


class Address(typing.NamedTuple):
    """A host and port to listen on."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse HOST:PORT; raises ``ValueError``."""
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'expected HOST:PORT, got {text!r}')
    return Address(host, int(port))


def parse_seconds(text: str) -> datetime.timedelta:
    """Parse a duration in seconds, at least 0; raises ``ValueError``."""
    seconds = _parse_finite(text)
    if seconds < 0:
        raise ValueError(f'expected at least 0, got {text}')
    return datetime.timedelta(seconds=seconds)


def parse_count(text: str) -> int:
    """Parse an integer of at least 1; raises ``ValueError``."""
    number = int(text)
    if number < 1:
        raise ValueError(f'expected at least 1, got {text}')
    return number


def parse_rate(text: str) -> float:
    """Parse a number greater than 0; raises ``ValueError``."""
    number = _parse_finite(text)
    if number <= 0:
        raise ValueError(f'expected more than 0, got {text}')
    return number


def _parse_finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'expected a finite number, got {text}')
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
    """Return the engine settings in the parsed flags."""
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
    'HOST:PORT to listen on; port 0 picks a free port',
)

KINDS = (
    Kind(
        'keyvalue',
        'key-value service with the JSON gateway of etcd v3',
        (
            _LISTEN,
            Option(
                '--progress-interval-s',
                parse_seconds,
                '1',
                'seconds between progress notifications of an idle watch',
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
                'seconds until a change becomes visible',
            ),
        ),
        server.serve_until_stopped(_build_instancelist),
    ),
    Kind(
        'engine',
        'model engine with continuous batching',
        (
            _LISTEN,
            Option('--model', str, 'calculator', 'name of the model'),
            Option('--replica', str, 'calculator-0', 'name of the replica'),
            Option(
                '--token-gap-s',
                parse_rate,
                '0.01',
                'seconds between tokens at a batch size of 1',
            ),
            Option(
                '--knee',
                parse_count,
                '16',
                'batch size up to which the token gap is nearly constant',
            ),
            Option(
                '--prefill-rate', parse_rate, '8000', 'prompt tokens per second'
            ),
            Option('--max-running', parse_count, '256', 'maximum batch size'),
            Option(
                '--cache-blocks',
                parse_count,
                '4096',
                'prefix cache capacity in blocks',
            ),
            Option(
                '--block-tokens', parse_count, '16', 'tokens per cache block'
            ),
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
                'seconds until a request without a connection is cancelled',
            ),
            Option(
                '--fencing',
                str,
                'checked',
                'whether a stale fencing number is rejected',
                ('checked', 'ignored'),
            ),
        ),
        server.serve_until_stopped(_build_engine),
    ),
    Kind(
        'plain',
        'plain service that echoes requests and counts runs per key',
        (
            _LISTEN,
            Option('--name', str, 'orders', 'name of the service'),
            Option(
                '--work-s',
                parse_seconds,
                '0.01',
                'duration of each call in seconds',
            ),
        ),
        server.serve_until_stopped(_build_plain),
    ),
    Kind(
        'demo',
        'run a fleet on stand-ins and print its responses',
        (),
        demo.run,
    ),
)
