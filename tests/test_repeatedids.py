"""Requests with the same id at the same time, at one instance or two."""

import asyncio
import contextlib

import pytest

from tests import platformfleet

INSTANCES = pytest.mark.parametrize('instances', [1, 2])
PATH = '/safe/x'


@contextlib.asynccontextmanager
async def running_with_a_full_replica(instances):
    """Run a fleet whose only slot is taken by another request."""
    async with platformfleet.running(replicas=1, instances=instances) as fleet:
        replica = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', replica.describe(slots=1))
        await asyncio.sleep(0.5)
        replica.work_s = 0.4
        await fleet.begin(PATH)
        await platformfleet.wait_until(lambda: replica.runs)
        yield fleet


async def begin(fleet, *, instance):
    """Send a request with the id that all have, and let it wait."""
    begun = await fleet.begin(
        PATH, request_id='same', instance=instance, deadline_ms=2500
    )
    await asyncio.sleep(0.05)
    return begun


@INSTANCES
async def test_two_waiting_requests_with_one_id_are_both_answered(instances):
    async with running_with_a_full_replica(instances) as fleet:
        first, _ = await begin(fleet, instance='entry-0')
        second, _ = await begin(fleet, instance=f'entry-{instances - 1}')
        await asyncio.wait([first.done, second.done], timeout=4)
    assert [first.status, second.status] == [200, 200]


@INSTANCES
async def test_one_that_leaves_takes_no_slot_from_the_other(instances):
    """Its caller closes the connection while both wait."""
    async with running_with_a_full_replica(instances) as fleet:
        _, leaving = await begin(fleet, instance='entry-0')
        response, _ = await begin(fleet, instance=f'entry-{instances - 1}')
        leaving.abort()
        await asyncio.wait([response.done], timeout=4)
    assert response.status == 200
