"""Requests beside changes of the configuration: none may be lost.

``python -m tests.test_lostanswers FIRST LAST`` plays more seeds, with the
replicas' shortest and longest pause in seconds as further arguments, and
``disturbed`` as the last one.
"""

import asyncio
import sys

import pytest

from tests import changingfleet, changingreplicas

SECONDS = 4.0


@pytest.mark.parametrize('seed', [1, 2])
async def test_no_request_is_lost_beside_a_change_of_the_configuration(seed):
    played = await changingfleet.play(seed, SECONDS)
    assert not played.broken, '\n'.join(played.broken)
    assert played.counts['complete 200'] > 50


@pytest.mark.parametrize('seed', [1, 2])
async def test_no_request_is_lost_beside_a_change_and_a_disturbance(seed):
    played = await changingfleet.play(seed, SECONDS, is_disturbed=True)
    assert not played.broken, '\n'.join(played.broken)
    assert played.counts['complete 200'] > 50


if __name__ == '__main__':
    first, last = map(int, sys.argv[1:3])
    further = sys.argv[3:]
    is_disturbed = 'disturbed' in further
    if is_disturbed:
        further.remove('disturbed')
    pauses_s = tuple(map(float, further)) or changingreplicas.PAUSES_S
    for each_seed in range(first, last + 1):
        found = asyncio.run(
            changingfleet.play(
                each_seed,
                SECONDS,
                pauses_s=pauses_s,
                is_disturbed=is_disturbed,
            )
        )
        sys.stdout.write(
            f'seed {each_seed}: {dict(found.counts)}'
            f' broken {len(found.broken)}\n'
        )
        for line in found.broken:
            sys.stdout.write(f'  {line}\n')
