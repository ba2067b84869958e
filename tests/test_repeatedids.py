"""Requests with the same id at the same time, at one instance or two."""

import asyncio

import pytest

from tests import platformfleet


@pytest.mark.parametrize('instances', [1, 2])
async def test_two_waiting_requests_with_one_id_are_both_answered(instances):
    """Both wait for the only slot, and a third one has it."""
    async with platformfleet.running(replicas=1, instances=instances) as fleet:
        replica = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', replica.describe(slots=1))
        await asyncio.sleep(0.5)
        replica.work_s = 0.4
        await fleet.begin('/safe/x')
        await platformfleet.wait_until(lambda: replica.runs)
        responses = await begin_both(fleet, instances, path='/safe/x')
        await asyncio.wait([each.done for each in responses], timeout=4)
    assert [each.status for each in responses] == [200, 200]


@pytest.mark.parametrize('instances', [1, 2])
async def test_one_that_leaves_takes_no_slot_from_the_other(instances):
    """Its caller closes the connection while both wait."""
    async with platformfleet.running(replicas=1, instances=instances) as fleet:
        replica = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', replica.describe(slots=1))
        await asyncio.sleep(0.5)
        replica.work_s = 0.4
        await fleet.begin('/safe/x')
        await platformfleet.wait_until(lambda: replica.runs)
        _, leaving = await fleet.begin('/safe/x', request_id='same')
        await asyncio.sleep(0.05)
        (response,) = await begin_both(
            fleet, instances, path='/safe/x', count=1
        )
        leaving.abort()
        await asyncio.wait([response.done], timeout=4)
    assert response.status == 200


async def begin_both(fleet, instances, *, path, count=2):
    """Send requests with the same id, one at the last instance first."""
    responses = []
    for number in range(count):
        name = f'entry-{(instances - 1 + number) % instances}'
        response, _ = await fleet.begin(
            path, request_id='same', instance=name, deadline_ms=2500
        )
        responses.append(response)
        await asyncio.sleep(0.05)
    return responses
