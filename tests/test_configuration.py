"""Configurations, keys and leaving replicas, while the store misbehaves."""

import asyncio

import pytest

from lavenderledge.controllers import slotrequester
from lavenderledge.http1 import messages
from tests import platformfleet


async def test_unknown_keys_and_routes_are_told_so():
    async with platformfleet.running() as fleet:
        unknown = await fleet.send('/once/x', key='other')
        missing = await fleet.send('/once/x', key=None)
        nowhere = await fleet.send('/nowhere/x')
        runs = fleet.list_runs()
    assert (unknown.status, missing.status, nowhere.status) == (401, 401, 404)
    assert not runs


async def test_without_a_configuration_nothing_is_denied():
    async with platformfleet.running(instances=0) as fleet:
        fleet.store.mode = 'busy'
        task = asyncio.create_task(fleet.add_instance('entry-0'))
        await platformfleet.wait_until(
            lambda: 'entry-0' in fleet.instance_ports
        )
        await asyncio.sleep(0.2)
        answer = await fleet.send('/once/x')
        assert answer.status == messages.UNAVAILABLE
        fleet.store.mode = 'ok'
        await task
        served = await fleet.send('/once/x')
    assert served.status == messages.OK


async def test_a_removed_key_is_refused_everywhere_at_once():
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
        waiting = set(fleet.instance_ports)
        while waiting:
            assert loop.time() < end_s
            for name in tuple(waiting):
                answer = await fleet.send('/once/x', instance=name)
                if answer.status == messages.UNAUTHORIZED:
                    waiting.discard(name)
        again = [
            await fleet.send('/once/x', instance=name)
            for name in fleet.instance_ports
        ]
    assert {answer.status for answer in again} == {401}


async def test_keys_are_not_used_on_a_belief_that_is_too_old():
    async with platformfleet.running(instances=0) as fleet:
        await fleet.add_instance('entry-0', revocation_ms=2500)
        fleet.store.mode = 'silent'
        await asyncio.sleep(2.6)
        answer = await fleet.send('/once/x')
        ready = fleet.instances['entry-0'].is_ready
        runs = fleet.list_runs()
        fleet.store.mode = 'ok'
        await platformfleet.wait_until(
            lambda: fleet.instances['entry-0'].is_ready
        )
        served = await fleet.send('/once/x')
    assert answer.status == messages.UNAVAILABLE
    assert not ready
    assert not runs
    assert served.status == messages.OK


async def test_a_lower_version_changes_nothing():
    async with platformfleet.running(version=9) as fleet:
        fleet.store.write(
            'op/config', platformfleet.make_configuration(8, routes=[])
        )
        await asyncio.sleep(0.7)
        answer = await fleet.send('/once/x')
    assert answer.status == messages.OK


async def test_an_unreadable_configuration_leaves_the_last_in_force():
    async with platformfleet.running() as fleet:
        fleet.store.write('op/config', b'{"version": "x"')
        await asyncio.sleep(0.7)
        answer = await fleet.send('/once/x')
    assert answer.status == messages.OK


async def test_entries_that_cannot_be_read_harm_no_other():
    async with platformfleet.running(replicas=1) as fleet:
        for name, entry in (
            ('i-7', b'\xff\x00'),
            ('i-8', {'service': 'model', 'address': 5}),
            ('i-9', {'service': 'model', 'state': 'odd', 'capacity': 3}),
        ):
            fleet.store.write(f'servers/{name}', entry)
        await asyncio.sleep(0.8)
        answers = [await fleet.send('/once/x') for _ in range(4)]
    assert {answer.status for answer in answers} == {200}


async def test_a_draining_replica_gets_nothing_new():
    async with platformfleet.running(replicas=2, instances=3) as fleet:
        leaving = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', leaving.describe(state='draining'))
        await asyncio.sleep(1.5)
        before = len(leaving.received)
        answers = [
            await fleet.send('/once/x', instance=f'entry-{number % 3}')
            for number in range(12)
        ]
    assert len(leaving.received) == before
    assert {answer.status for answer in answers} == {200}


async def test_an_outage_of_the_store_takes_no_replica_away():
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


async def test_a_forgotten_history_is_read_anew():
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
        answer = await fleet.send('/later/x', method=b'GET')
    assert answer.status == messages.OK


async def test_a_list_from_long_ago_is_read_anew_before_it_is_granted_by():
    async with platformfleet.running(replicas=2, instances=4) as fleet:
        # Longer than a list counts as young.
        await asyncio.sleep(2.6)
        ranked = fleet.instances['entry-0']._registration.rank_allocators()
        last = fleet.instances[ranked[-1]]
        # It knew the list once, by itself.
        watching = last._watching
        watching.replicas.entry_cache.replace(
            {
                change.key.removeprefix('servers/'): listed
                for change in (
                    await last._store.list_keys('servers/')
                ).ok.changes
                if (listed := fleet.read_replica(change)) is not None
            }
        )
        watching.replicas.confirm(last._clock.read_monotonic() - 60)
        leaving = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', leaving.describe(state='draining'))
        await asyncio.sleep(0.5)
        # All others fall silent, so that it grants by itself.
        last._registration.rank_allocators = lambda: ranked[-1:]
        last._requester._rank_allocators = lambda: ranked[-1:]
        answers = await asyncio.gather(
            *(fleet.send('/once/x', instance=ranked[-1]) for _ in range(8))
        )
    assert not leaving.runs
    assert {answer.status for answer in answers} == {200}


async def test_followers_of_a_quiet_store_never_count_as_stale():
    async with platformfleet.running(replicas=1, instances=2) as fleet:
        await asyncio.sleep(0.5)
        watching = [each._watching for each in fleet.instances.values()]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 3
        oldest_s = 0
        while loop.time() < end_s:
            for each in watching:
                oldest_s = max(oldest_s, each.replicas.age_s())
                age_s = each.read_freshness().list_age_s
                assert age_s <= slotrequester.MAX_LIST_AGE_S
            await asyncio.sleep(0.02)
    # Some room is left for a slow answer of the store.
    assert oldest_s < 1.5


async def test_a_replica_seen_to_leave_is_not_used_by_anothers_grant():
    async with platformfleet.running(replicas=2, instances=3) as fleet:
        await asyncio.sleep(1)
        allocator = fleet.instances['entry-0']._requester.allocator
        others = [name for name in fleet.instances if name != allocator]
        # The allocator hears nothing more of replicas, and does not know it.
        blind = fleet.instances[allocator]._watching.replicas
        blind.entry_cache.update = lambda changes: None
        blind.entry_cache.replace = lambda listed: None
        leaving = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', leaving.describe(state='draining'))
        await asyncio.sleep(1.2)
        answers = [
            await fleet.send('/once/x', instance=others[number % 2])
            for number in range(8)
        ]
    assert not leaving.runs
    assert {answer.status for answer in answers} == {200}


async def test_a_storm_of_changes_costs_a_large_fleet_no_more_calls():
    async with platformfleet.running() as fleet:
        watching = fleet.instances['entry-0']._watching
        for instances, rest_s in ((3, 0.5), (82, 1.64), (370, 3)):
            watching._members.count_alive = lambda count=instances: count
            assert watching._find_members_rest_s() == pytest.approx(rest_s)
