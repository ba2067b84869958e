"""Requests that wait while a new version changes what kind they are."""

import asyncio

import pytest

from tests import platformfleet, platformreplica, test_streampauses

# What the first of its replicas does; the others are sound.
FIRSTS = {
    'cut': 'cut',
    'silent': platformreplica.Pause(2, 1.6),
    'sound': 'ok',
}


def make_route(name, **changes):
    return platformfleet.make_route(
        name, 'streaming', timeout_ms=6000, max_attempts=3, **changes
    )


@pytest.mark.parametrize('was_resumable', [False, True])
@pytest.mark.parametrize('first', FIRSTS)
async def test_a_waiting_stream_has_each_event_once_in_a_new_version(
    first, was_resumable
):
    """The new version has a longer prefix for it, where it may be resumed."""
    outer = make_route('stream', resumable=was_resumable)
    inner = make_route('stream/new', resumable=not was_resumable)
    actions = iter([FIRSTS[first]])
    async with platformfleet.running(replicas=0, routes=[outer]) as fleet:
        running = fleet.instances['entry-0']
        response, _ = await fleet.begin('/stream/new/x', deadline_ms=6000)
        await platformfleet.wait_until(lambda: running._forwarder._running)
        fleet.store.write(
            'op/config',
            platformfleet.make_configuration(2, routes=[outer, inner]),
        )
        await platformfleet.wait_until(
            lambda: running._watcher.read_version() == 2
        )
        for number in range(3):
            replica = await fleet.add_replica(f'i-{number}')
            replica.choose = lambda request: next(actions, 'ok')
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        runs = fleet.list_runs()
    assert response.status == 200
    if first == 'cut' and was_resumable:
        assert not response.is_complete
        assert test_streampauses.EXPECTED.startswith(response.body)
        assert len(runs) == 1
    else:
        assert response.is_complete
        assert response.body == test_streampauses.EXPECTED


@pytest.mark.parametrize('route_type', ['safe', 'unsafe'])
async def test_a_stream_whose_route_became_plain_is_joined_with_nothing(
    route_type,
):
    stream = make_route('stream', resumable=True)
    plain = platformfleet.make_route('stream', route_type, max_attempts=3)
    async with platformfleet.running(replicas=1, routes=[stream]) as fleet:
        running = fleet.instances['entry-0']
        fleet.replicas['i-0'].default_action = 'cut'
        fleet.replicas['i-0'].event_gap_s = 0.3
        response, _ = await fleet.begin('/stream/x', deadline_ms=6000)
        await platformfleet.wait_until(lambda: response.body)
        fleet.store.write(
            'op/config', platformfleet.make_configuration(2, routes=[plain])
        )
        await platformfleet.wait_until(
            lambda: running._watcher.read_version() == 2
        )
        await fleet.add_replica('i-1')
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        runs = fleet.list_runs()
    assert response.status == 200
    assert len(runs) == 1
    assert not response.is_complete
    assert test_streampauses.EXPECTED.startswith(response.body)
