"""A silent run is kept until another run of its request gives an answer."""

import asyncio

import pytest

from lavenderledge.http1 import messages
from tests import platformfleet

PAUSE_S = 1.6
EVENTS = b''.join(
    f'id: {number}\ndata: {number}\n\n'.encode() for number in range(1, 4)
)
OBSTACLES = ['replicas', 'budget', 'route', 'key', 'full', 'reset', 'hang']


def make_routes(slo_ms=500):
    return [
        platformfleet.make_route(
            'stream/paused',
            'streaming',
            resumable=True,
            max_attempts=3,
            timeout_ms=12000,
            slo_ms=slo_ms,
        ),
        platformfleet.make_route('safe/slow', 'safe', timeout_ms=3000),
    ]


async def begin_beside_an_obstacle(fleet, obstacle, path, deadline_ms):
    """Send a request, and hinder a second run once the first has begun."""
    response, _ = await fleet.begin(path, deadline_ms=deadline_ms)
    await platformfleet.wait_until(fleet.list_runs)
    idle = [r for r in fleet.replicas.values() if not r.runs]
    for replica in idle:
        if obstacle in {'full', 'reset', 'hang'}:
            replica.default_action = obstacle
    configuration = platformfleet.make_configuration(2, routes=make_routes())
    if obstacle == 'route':
        configuration['routes'] = [platformfleet.make_route('other', 'safe')]
        fleet.store.write('op/config', configuration)
    if obstacle == 'key':
        configuration['tenants'][0]['api_keys'] = ['another-key']
        fleet.store.write('op/config', configuration)
    return response


@pytest.mark.parametrize('obstacle', OBSTACLES)
@pytest.mark.parametrize('silence', ['midway', 'first', 'plain'])
async def test_a_running_answer_is_not_given_up_for_one_that_is_not_had(
    silence, obstacle
):
    count = 1 if obstacle == 'replicas' else 3
    options = (
        {'retry_ratio': 0, 'retry_slack': 0} if obstacle == 'budget' else {}
    )
    is_plain = silence == 'plain'
    async with platformfleet.running(
        replicas=count, instances=0, routes=make_routes()
    ) as fleet:
        await fleet.add_instance('entry-0', **options)
        for replica in fleet.replicas.values():
            replica.events = 3
            if silence == 'midway':
                replica.event_gap_s = PAUSE_S
            else:
                replica.work_s = PAUSE_S
        response = await begin_beside_an_obstacle(
            fleet,
            obstacle,
            '/safe/slow/x' if is_plain else '/stream/paused/x',
            3000 if is_plain else 12000,
        )
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        first = next(r for r in fleet.replicas.values() if not r.cancelled)
    assert response.status == messages.OK
    assert response.is_complete
    expected = f'{first.name} ran r-1'.encode() if is_plain else EVENTS
    assert response.body == expected


async def test_a_caller_that_leaves_ends_every_run_of_its_request():
    async with platformfleet.running(replicas=3, routes=make_routes()) as fleet:
        for replica in fleet.replicas.values():
            replica.default_action = 'hang'
        _, connection = await fleet.begin('/stream/paused/x', deadline_ms=12000)
        await platformfleet.wait_until(lambda: len(fleet.list_runs()) == 2)
        connection.abort()
        await platformfleet.wait_until(
            lambda: not any(r.running for r in fleet.replicas.values())
        )
        requester = fleet.instances['entry-0']._requester
        await platformfleet.wait_until(lambda: not requester._entries)


async def test_a_hung_run_is_ended_once_another_one_goes_on():
    async with platformfleet.running(replicas=3, routes=make_routes()) as fleet:
        for replica in fleet.replicas.values():
            replica.events = 3
        hung = fleet.replicas['i-0']
        hung.default_action = 'hang'
        responses = [
            await fleet.send('/stream/paused/x', deadline_ms=12000)
            for _ in range(3)
        ]
        assert hung.runs
        await platformfleet.wait_until(lambda: not hung.running)
    assert [response.body for response in responses] == [EVENTS] * 3


async def test_no_more_runs_are_begun_than_the_route_allows():
    async with platformfleet.running(replicas=4, routes=make_routes()) as fleet:
        for replica in fleet.replicas.values():
            replica.default_action = 'hang'
        response = await fleet.send('/stream/paused/x', deadline_ms=7000)
    assert response.status == messages.GATEWAY_TIMEOUT
    assert len(fleet.list_runs()) == 3


async def test_a_replica_is_not_reported_lost_for_its_callers_short_deadlines(
    caplog,
):
    caplog.set_level('INFO')
    async with platformfleet.running(replicas=1) as fleet:
        fleet.replicas['i-0'].event_gap_s = 0.3
        for _ in range(3):
            await fleet.send('/stream/x', deadline_ms=1000)
    events = [record.getMessage() for record in caplog.records]
    assert events.count('request') == 3
    assert 'upstream_lost' not in events


async def test_a_caller_that_reads_slowly_does_not_make_its_replica_silent():
    async with platformfleet.running(replicas=2, routes=make_routes()) as fleet:
        for replica in fleet.replicas.values():
            replica.events = 3
            replica.event_gap_s = 0.2
        response, _ = await fleet.begin('/stream/paused/x', deadline_ms=12000)
        await platformfleet.wait_until(lambda: response.body)
        listener = fleet.instances['entry-0']._caller_listener
        (connection,) = listener.connections
        connection.pause_writing()
        await asyncio.sleep(2.5)
        connection.resume_writing()
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        runs = fleet.list_runs()
    assert response.body == EVENTS
    assert runs == ['r-1']


async def test_a_caller_that_reads_again_gets_events_of_another_run():
    async with platformfleet.running(replicas=4, routes=make_routes()) as fleet:
        for replica in fleet.replicas.values():
            replica.events = 3
            replica.event_gap_s = 10
        response, _ = await fleet.begin('/stream/paused/x', deadline_ms=12000)
        await platformfleet.wait_until(lambda: response.body)
        listener = fleet.instances['entry-0']._caller_listener
        (connection,) = listener.connections
        connection.pause_writing()
        await asyncio.sleep(1.5)
        connection.resume_writing()
        for replica in fleet.replicas.values():
            replica.event_gap_s = 0.005
        await asyncio.wait_for(response.done, 6)
    assert response.body == EVENTS
