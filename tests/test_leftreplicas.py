"""Requests and replicas that leave while parts of the fleet lack the store."""

import asyncio

import pytest

from tests import platformfleet

# Requests may reach a replica until this long after the store acknowledged
# that it leaves.
DRAIN_S = 2.0


async def send_steadily(fleet, instance, *, for_s):
    """Keep all replicas in use for a while; return the responses' statuses."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    statuses = set()

    async def send():
        while loop.time() < end_s:
            response = await fleet.send('/once/x', instance=instance)
            statuses.add(response.status)

    await asyncio.gather(*(send() for _ in range(6)))
    return statuses


async def start_fleet(fleet, instances):
    """Start instances with a link to the store each; return them by rank."""
    for number in range(instances):
        name = f'entry-{number}'
        store = await fleet.add_store_link(name)
        await fleet.add_instance(name, store=store)
    await platformfleet.wait_until(
        lambda: all(
            len(running._registration.rank_allocators()) == instances
            for running in fleet.instances.values()
        )
    )
    return fleet.instances['entry-0']._registration.rank_allocators()


@pytest.mark.parametrize('state', ['draining', 'gone'])
async def test_a_replica_that_left_while_all_followers_were_cut_off(state):
    async with platformfleet.running(replicas=3, instances=0) as fleet:
        ranked = await start_fleet(fleet, 4)
        leaving = fleet.replicas['i-0']
        for replica in fleet.replicas.values():
            replica.work_s = 0.05
        for name in ranked[:3]:
            fleet.cut_store(name)
        await asyncio.sleep(0.2)
        if state == 'gone':
            fleet.store.delete('servers/i-0')
        else:
            fleet.store.write('servers/i-0', leaving.describe(state=state))
        left_s = asyncio.get_running_loop().time()
        statuses = await send_steadily(fleet, ranked[3], for_s=5)
    late = [at_s - left_s for at_s in leaving.arrivals_s if at_s > left_s]
    assert max(late, default=0) <= DRAIN_S
    assert statuses == {200}
