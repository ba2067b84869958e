"""A store that comes back from an older copy and gives out revisions again."""

import asyncio

import pytest

from lavenderledge.controllers import registration
from lavenderledge.platform import store as stores
from lavenderledge.registry import store as registry
from tests import platformfleet, platformstore

SECRET = 'lavenderledge/peer-secret'


async def restart_store(fleet, copy, *, away_s=0.3):
    """Bring the store back from a copy after it was away."""
    fleet.store.mode = 'reset'
    await asyncio.sleep(away_s)
    fleet.store.restore(copy)


def add_route(version):
    routes = platformfleet.make_configuration()['routes']
    extra = platformfleet.make_route(f'new-{version}', 'safe')
    return platformfleet.make_configuration(version, routes=[*routes, extra])


def list_versions(fleet):
    return {
        running._watcher.configuration.current.version
        for running in fleet.instances.values()
    }


@pytest.mark.parametrize('away_s', [0, 0.3])
async def test_a_version_whose_revision_was_given_out_before_is_accepted(
    away_s,
):
    async with platformfleet.running(instances=3) as fleet:
        copy = fleet.store.take_copy()
        fleet.store.write('op/config', add_route(2))
        await platformfleet.wait_until(lambda: list_versions(fleet) == {2})
        revision = fleet.store.revision
        await restart_store(fleet, copy, away_s=away_s)
        while fleet.store.revision < revision - 1:
            fleet.store.write('servers/other', b'')
        # The lost revision is given out again before anybody calls.
        fleet.store.write('op/config', add_route(3))
        assert fleet.store.revision == revision
        fleet.store.mode = 'ok'
        await platformfleet.wait_until(lambda: list_versions(fleet) == {3})
        for name in fleet.instances:
            response = await fleet.send('/new-3/x', instance=name)
            assert response.status == 200


async def test_an_instance_registers_again_although_its_lease_seems_to_hold():
    async with platformfleet.running(instances=2) as fleet:
        copy = fleet.store.take_copy()
        await fleet.add_instance('entry-2')
        await platformfleet.wait_until(
            lambda: fleet.instances['entry-0']._registration.count_alive() == 3
        )
        leases = set(fleet.store.leases)
        await restart_store(fleet, copy)
        # Another instance's leases have the numbers of the lost ones.
        for lease in leases - set(fleet.store.leases):
            fleet.store.leases[lease] = (1e12, 4.0)
        fleet.store.next_lease = max(leases) + 1
        fleet.store.mode = 'ok'
        key = f'{registration.PREFIX}entry-2'
        await platformfleet.wait_until(lambda: key in fleet.store.keys)
        assert fleet.store.keys[key][2] not in leases


async def test_leaving_does_not_end_the_lease_of_another_instance():
    async with platformfleet.running(instances=2) as fleet:
        lease = fleet.store.keys[f'{registration.PREFIX}entry-1'][2]
        copy = fleet.store.take_copy()
        copy.leases.pop(lease)
        del copy.keys[f'{registration.PREFIX}entry-1']
        await restart_store(fleet, copy)
        fleet.store.leases[lease] = (1e12, 4.0)
        fleet.store.mode = 'ok'
        await platformfleet.wait_until(
            lambda: f'{registration.PREFIX}entry-1' in fleet.store.keys
        )
        fleet.instances['entry-1'].request_stop()
        await platformfleet.wait_until(
            lambda: f'{registration.PREFIX}entry-1' not in fleet.store.keys
        )
        assert lease in fleet.store.leases


async def test_a_lost_peer_secret_is_written_again():
    async with platformfleet.running(instances=2) as fleet:
        copy = fleet.store.take_copy()
        secret = copy.keys.pop(SECRET)
        await restart_store(fleet, copy)
        fleet.store.mode = 'ok'
        await platformfleet.wait_until(lambda: SECRET in fleet.store.keys)
        assert fleet.store.keys[SECRET][0] == secret[0]


async def test_instances_agree_on_the_secret_that_another_one_wrote_first():
    async with platformfleet.running(instances=0) as empty:
        empty.store.keys.clear()
        await empty.add_instance('entry-0', is_ready=False)
        await platformfleet.wait_until(lambda: SECRET in empty.store.keys)
        other_secret = empty.store.keys[SECRET][0]
    async with platformfleet.running(instances=2) as fleet:
        copy = fleet.store.take_copy()
        await restart_store(fleet, copy)
        fleet.store.write(SECRET, other_secret)
        fleet.store.mode = 'ok'
        await fleet.add_instance('entry-2')
        await platformfleet.wait_until(
            lambda: (
                {
                    running._requester.allocator
                    for running in fleet.instances.values()
                }
                in ({name} for name in fleet.instances)
            )
        )
        for name in fleet.instances:
            response = await fleet.send('/safe/x', instance=name)
            assert response.status == 200


async def test_a_replica_that_left_gets_no_request_when_its_old_entry_is_back():
    async with platformfleet.running(replicas=2, instances=2) as fleet:
        copy = fleet.store.take_copy()
        entry = fleet.replicas['i-0'].describe(state='draining')
        fleet.store.write('servers/i-0', entry)
        await platformfleet.wait_until(
            lambda: all(
                len(running._watcher.list_replicas()) == 1
                for running in fleet.instances.values()
            )
        )
        await restart_store(fleet, copy)
        fleet.store.mode = 'ok'
        before = len(fleet.replicas['i-0'].runs)
        end_s = asyncio.get_running_loop().time() + 2
        while asyncio.get_running_loop().time() < end_s:
            for name in fleet.instances:
                await fleet.send('/safe/x', instance=name)
            await asyncio.sleep(0.02)
        assert len(fleet.replicas['i-0'].runs) == before


async def test_a_replica_that_left_may_come_back_in_the_restored_store():
    async with platformfleet.running(replicas=2, instances=2) as fleet:
        copy = fleet.store.take_copy()
        fleet.store.delete('servers/i-0')
        await platformfleet.wait_until(
            lambda: (
                len(fleet.instances['entry-0']._watcher.list_replicas()) == 1
            )
        )
        await restart_store(fleet, copy)
        fleet.store.mode = 'ok'
        await asyncio.sleep(1)
        fleet.store.write(
            'servers/i-0', fleet.replicas['i-0'].describe(sequence=2)
        )
        await platformfleet.wait_until(
            lambda: (
                len(fleet.instances['entry-0']._watcher.list_replicas()) == 2
            )
        )


async def write_lost_version(fleet):
    """Have all instances accept version 2; return a copy from before.

    Version 2 takes away the key that callers use.
    """
    copy = fleet.store.take_copy()
    tenant = {'name': 'dealer', 'api_keys': ['another-key']}
    fleet.store.write(
        'op/config', platformfleet.make_configuration(2, tenants=[tenant])
    )
    await platformfleet.wait_until(lambda: list_versions(fleet) == {2})
    return copy


async def test_a_newcomer_does_not_use_a_version_that_peers_know_as_outdated():
    async with platformfleet.running(instances=2) as fleet:
        copy = await write_lost_version(fleet)
        for peer in fleet.instances.values():
            # No peer can update it.
            peer._allocator._state_reader = (
                peer._allocator._state_reader._replace(
                    build_update=lambda version: None
                )
            )
        await restart_store(fleet, copy)
        fleet.store.mode = 'ok'
        await fleet.add_instance('entry-2', is_ready=False)
        end_s = asyncio.get_running_loop().time() + 3
        newcomer = fleet.instances['entry-2']
        await platformfleet.wait_until(
            lambda: newcomer._watcher.configuration.is_outdated
        )
        # Two watches: the first one began before the peers were heard.
        await asyncio.sleep(1.2)
        while asyncio.get_running_loop().time() < end_s:
            response = await fleet.send('/safe/x', instance='entry-2')
            assert response.status == 503
            await asyncio.sleep(0.02)
        assert not newcomer.is_ready


async def test_a_newcomer_gets_a_version_that_a_restored_store_lost():
    async with platformfleet.running(instances=2) as fleet:
        copy = await write_lost_version(fleet)
        await restart_store(fleet, copy)
        fleet.store.mode = 'ok'
        await fleet.add_instance('entry-2', is_ready=False)
        newcomer = fleet.instances['entry-2']
        await platformfleet.wait_until(
            lambda: newcomer._watcher.read_version() == 2
        )
        statuses = set()
        end_s = asyncio.get_running_loop().time() + 3
        while asyncio.get_running_loop().time() < end_s:
            response = await fleet.send('/safe/x', instance='entry-2')
            statuses.add(response.status)
            await asyncio.sleep(0.02)
        assert list_versions(fleet) == {2}
    # As its peers, it does not know the key that version 2 took away.
    assert statuses <= {401, 503}


async def test_an_instance_that_restarts_after_a_restore_is_heard():
    # Its incarnation must be higher than before, although revisions are lower.
    async with platformfleet.running(instances=3) as fleet:
        copy = fleet.store.take_copy()
        await platformfleet.wait_until(
            lambda: fleet.instances['entry-0']._registration.count_alive() == 3
        )
        ranked = fleet.instances['entry-0']._registration.rank_allocators()
        allocator, name = ranked[:2]
        await fleet.stop_instance(name)
        fleet.store.revision += 100
        await fleet.add_instance(name)
        response = await fleet.send('/safe/x', instance=name)
        assert response.status == 200
        await restart_store(fleet, copy)
        fleet.store.mode = 'ok'
        await fleet.stop_instance(name)
        await fleet.add_instance(name)
        requester = fleet.instances[name]._requester
        await platformfleet.wait_until(lambda: requester.allocator == allocator)
        for _ in range(5):
            response = await fleet.send('/safe/x', instance=name)
            assert response.status == 200
        assert requester.allocator == allocator


async def test_a_listing_whose_pages_are_of_two_eras_fails():
    store = platformstore.Store()
    for number in range(60):
        store.write(f'key/{number:02}', b'')

    async def serve(request, reply):
        await store.handle(request, reply)
        if store.calls == 1:
            store.restore(store.take_copy())

    listener = platformstore.build_listener(serve)
    await listener.listen('127.0.0.1', 0)
    pool = platformfleet.make_pool()
    client = stores.PlatformStore(
        address=f'127.0.0.1:{listener.port}', pool=pool
    )
    torn = await client.list_keys('key/')
    listing = await client.list_keys('key/')
    pool.close()
    listener.stop()
    assert torn.error.fault is registry.Fault.RESTORED
    assert (len(listing.ok.changes), listing.ok.era) == (60, 2)
