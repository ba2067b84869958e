"""Sample messages of the sizes expected at the design size."""

import typing

from lavenderledge.peers import messages
from lavenderledge.policy import replicas, table

POOL: typing.Final = 'calculator'
LONG_TIMEOUT_S: typing.Final = 1e6
INCARNATION: typing.Final = 1_796_356_800_000
SENT_AT_S: typing.Final = 12345.678
OUTPUT_TOKENS: typing.Final = 235

_PREFIX_BLOCKS: typing.Final = 8
_PREFIXES: typing.Final = 12
_HASH_FACTOR: typing.Final = 0x9E3779B97F4A7C15
_HASH_RANGE: typing.Final = 2**64


def make_spec(number: int) -> messages.RequestSpec:
    """Return a request whose prompt has one of 12 prefixes."""
    first_block = number % _PREFIXES * _PREFIX_BLOCKS
    return messages.RequestSpec(
        request_id=f'resp_0123456789abcdef0123{number:012x}',
        row='lacing-plans',
        customer='wheelbuilder-guild',
        tier=1,
        weight=1.5,
        prompt_tokens=1200,
        output_tokens=OUTPUT_TOKENS,
        prefix=tuple(
            (first_block + block + 1) * _HASH_FACTOR % _HASH_RANGE
            for block in range(_PREFIX_BLOCKS)
        ),
        remaining_s=LONG_TIMEOUT_S,
        waited_s=0,
        preemptible=False,
        immediate=False,
    )


def make_address(number: int) -> str:
    """Return the IP address of a machine, by its number."""
    return f'10.1.{number // 250}.{number % 250}'


def make_running(number: int, replica: str) -> messages.RunningRequest:
    """Return a request that has produced half of its output tokens."""
    spec = make_spec(number)
    return messages.RunningRequest(
        request_id=spec.request_id,
        row=spec.row,
        customer=spec.customer,
        tier=spec.tier,
        replica=replica,
        prompt_tokens=spec.prompt_tokens,
        output_tokens=spec.output_tokens,
        output_done=spec.output_tokens // 2,
        preemptible=False,
        started=True,
    )


def make_reading(replica: str) -> messages.Reading:
    """Return a reading of a replica from one second of one stream."""
    return messages.Reading(replica, 16, 0.98, 1, 0.3, 1200, 400, 0)


def make_replicas(count: int) -> tuple[replicas.ReplicaInfo, ...]:
    """Return ``count`` engines."""
    return tuple(
        replicas.ReplicaInfo(
            f'calculator-{number}', '10.1.2.3:8000', 'addis-a', 'engine'
        )
        for number in range(count)
    )


def make_row() -> table.Row:
    """Return the table row of the sample requests, without rate limits."""
    return table.Row(
        'lacing-plans', '*', POOL, '*', 1, queue=1_000_000, repeatable=True
    )
