"""Configurations, keys and draining replicas, also with a faulty store."""

import asyncio

import pytest

from lavenderledge.controllers import slotrequester
from lavenderledge.http1 import messages
from tests import platformfleet


async def test_unknown_keys_get_401_and_unknown_routes_404():
    async with platformfleet.running() as fleet:
        unknown = await fleet.send('/once/x', key='other')
        missing = await fleet.send('/once/x', key=None)
        no_route = await fleet.send('/nowhere/x')
        runs = fleet.list_runs()
    assert (unknown.status, missing.status, no_route.status) == (401, 401, 404)
    assert not runs


async def test_without_a_configuration_requests_get_503():
    async with platformfleet.running(instances=0) as fleet:
        fleet.store.mode = 'busy'
        task = asyncio.create_task(fleet.add_instance('entry-0'))
        await platformfleet.wait_until(
            lambda: 'entry-0' in fleet.instance_ports
        )
        await asyncio.sleep(0.2)
        response = await fleet.send('/once/x')
        assert response.status == messages.UNAVAILABLE
        fleet.store.mode = 'ok'
        await task
        served = await fleet.send('/once/x')
    assert served.status == messages.OK


async def test_a_removed_key_is_rejected_by_all_instances():
    async with platformfleet.running(instances=5) as fleet:
        fleet.store.write(
            'op/config',
            platformfleet.make_configuration(
                7,
                tenants=[
                    {'name': 'dealer', 'api_keys': ['new']},
                ],
            ),
        )
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 2
        pending = set(fleet.instance_ports)
        while pending:
            assert loop.time() < end_s
            for name in tuple(pending):
                response = await fleet.send('/once/x', instance=name)
                if response.status == messages.UNAUTHORIZED:
                    pending.discard(name)
        final = [
            await fleet.send('/once/x', instance=name)
            for name in fleet.instance_ports
        ]
    assert {response.status for response in final} == {401}


async def test_keys_are_not_used_with_a_stale_configuration():
    async with platformfleet.running(instances=0) as fleet:
        await fleet.add_instance('entry-0', revocation_ms=2500)
        fleet.store.mode = 'silent'
        await asyncio.sleep(2.6)
        response = await fleet.send('/once/x')
        ready = fleet.instances['entry-0'].is_ready
        runs = fleet.list_runs()
        fleet.store.mode = 'ok'
        await platformfleet.wait_until(
            lambda: fleet.instances['entry-0'].is_ready
        )
        served = await fleet.send('/once/x')
    assert response.status == messages.UNAVAILABLE
    assert not ready
    assert not runs
    assert served.status == messages.OK


async def test_a_lower_version_is_ignored():
    async with platformfleet.running(version=9) as fleet:
        fleet.store.write(
            'op/config', platformfleet.make_configuration(8, routes=[])
        )
        await asyncio.sleep(0.7)
        response = await fleet.send('/once/x')
    assert response.status == messages.OK


async def test_an_invalid_configuration_is_ignored():
    async with platformfleet.running() as fleet:
        fleet.store.write('op/config', b'{"version": "x"')
        await asyncio.sleep(0.7)
        response = await fleet.send('/once/x')
    assert response.status == messages.OK


async def test_invalid_replica_entries_do_not_affect_others():
    async with platformfleet.running(replicas=1) as fleet:
        for name, entry in (
            ('i-7', b'\xff\x00'),
            ('i-8', {'service': 'model', 'address': 5}),
            ('i-9', {'service': 'model', 'state': 'odd', 'capacity': 3}),
        ):
            fleet.store.write(f'servers/{name}', entry)
        await asyncio.sleep(0.8)
        responses = [await fleet.send('/once/x') for _ in range(4)]
    assert {response.status for response in responses} == {200}


async def test_a_draining_replica_gets_no_new_requests():
    async with platformfleet.running(replicas=2, instances=3) as fleet:
        draining = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', draining.describe(state='draining'))
        await asyncio.sleep(1.5)
        before = len(draining.received)
        responses = [
            await fleet.send('/once/x', instance=f'entry-{number % 3}')
            for number in range(12)
        ]
    assert len(draining.received) == before
    assert {response.status for response in responses} == {200}


async def test_a_store_outage_removes_no_replica():
    async with platformfleet.running(replicas=1) as fleet:
        fleet.store.mode = 'reset'
        await asyncio.sleep(0.5)
        entry = fleet.replicas['i-0'].describe()
        fleet.store.delete('servers/i-0')
        fleet.store.mode = 'ok'
        await asyncio.sleep(0.9)
        during = await fleet.send('/once/x')
        fleet.store.write('servers/i-0', entry)
        await asyncio.sleep(2)
        after = await fleet.send('/once/x')
    assert (during.status, after.status) == (200, 200)


async def test_a_compacted_history_is_reread():
    async with platformfleet.running() as fleet:
        fleet.store.write('op/config', platformfleet.make_configuration(5))
        fleet.store.write(
            'op/config',
            platformfleet.make_configuration(
                6, routes=[platformfleet.make_route('later', 'safe')]
            ),
        )
        fleet.store.compact()
        await asyncio.sleep(1)
        response = await fleet.send('/later/x', method=b'GET')
    assert response.status == messages.OK


async def test_an_old_replica_list_is_reread_before_granting():
    async with platformfleet.running(replicas=2, instances=4) as fleet:
        # Longer than the age at which a list must be reread.
        await asyncio.sleep(2.6)
        ranked = fleet.instances['entry-0']._registration.rank_allocators()
        last = fleet.instances[ranked[-1]]
        # It read the list itself, a minute ago.
        watcher = last._watcher
        watcher.replicas.entry_cache.replace(
            {
                change.key.removeprefix('servers/'): listed
                for change in (
                    await last._store.list_keys('servers/')
                ).ok.changes
                if (listed := fleet.read_replica(change)) is not None
            }
        )
        watcher.replicas.confirm(last._clock.read_monotonic() - 60)
        draining = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', draining.describe(state='draining'))
        await asyncio.sleep(0.5)
        # It counts as the only allocator, so that it grants itself.
        last._registration.rank_allocators = lambda: ranked[-1:]
        last._requester._rank_allocators = lambda: ranked[-1:]
        responses = await asyncio.gather(
            *(fleet.send('/once/x', instance=ranked[-1]) for _ in range(8))
        )
    assert not draining.runs
    assert {response.status for response in responses} == {200}


async def test_the_replica_list_stays_fresh_without_changes():
    async with platformfleet.running(replicas=1, instances=2) as fleet:
        await asyncio.sleep(0.5)
        watchers = [instance._watcher for instance in fleet.instances.values()]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 3
        oldest_s = 0
        while loop.time() < end_s:
            for watcher in watchers:
                oldest_s = max(oldest_s, watcher.replicas.age_s())
                age_s = watcher.read_freshness().list_age_s
                assert age_s <= slotrequester.MAX_LIST_AGE_S
            await asyncio.sleep(0.02)
    # This leaves some time for a slow response of the store.
    assert oldest_s < 1.5


async def test_a_grant_for_a_replica_seen_draining_is_not_used():
    async with platformfleet.running(replicas=2, instances=3) as fleet:
        await asyncio.sleep(1)
        allocator = fleet.instances['entry-0']._requester.allocator
        others = [name for name in fleet.instances if name != allocator]
        # The allocator gets no more replica updates and does not notice.
        stale_cache = fleet.instances[allocator]._watcher.replicas
        stale_cache.entry_cache.update = lambda changes: None
        stale_cache.entry_cache.replace = lambda listed: None
        draining = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', draining.describe(state='draining'))
        await asyncio.sleep(1.2)
        responses = [
            await fleet.send('/once/x', instance=others[number % 2])
            for number in range(8)
        ]
    assert not draining.runs
    assert {response.status for response in responses} == {200}


async def test_the_pause_between_member_reads_grows_with_the_fleet():
    async with platformfleet.running() as fleet:
        watcher = fleet.instances['entry-0']._watcher
        for instances, pause_s in ((3, 0.5), (82, 1.64), (370, 3)):
            watcher._members.count_alive = lambda count=instances: count
            assert watcher._find_members_pause_s() == pytest.approx(pause_s)
