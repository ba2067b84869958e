"""Several runs of one request at a time: their ends, and how many there are."""

import asyncio

import pytest

from lavenderledge.http1 import messages
from tests import changingreplicas, platformfleet, platformreplica


def make_stream_route(max_attempts=3, **changes):
    return platformfleet.make_route(
        'stream/paused',
        'streaming',
        resumable=True,
        max_attempts=max_attempts,
        timeout_ms=12000,
        **changes,
    )


async def test_a_stream_that_two_replicas_left_gets_no_fourth_run():
    """The third run goes on, and is not silent."""
    routes = [make_stream_route()]
    async with platformfleet.running(replicas=5, routes=routes) as fleet:
        for replica in fleet.replicas.values():
            replica.events = 20
            replica.event_gap_s = 10
        response, _ = await fleet.begin('/stream/paused/x', deadline_ms=12000)
        await platformfleet.wait_until(lambda: len(fleet.list_runs()) == 2)
        for replica in fleet.replicas.values():
            if not replica.runs:
                replica.event_gap_s = 0.2
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        runs = fleet.list_runs()
    assert response.status == messages.OK
    assert response.is_complete
    assert len(runs) == 3


async def read_all(reader, seconds):
    """Return what the caller gets within a time, its connection kept open."""
    received = b''
    try:
        async with asyncio.timeout(seconds):
            while data := await reader.read(65536):
                received += data
    except TimeoutError:
        pass
    return received


async def send_beside_lost_runs(fleet, path, delays_s):
    """Lose two runs while a third one waits for the only other replica."""
    blocked_s, first_s, second_s = delays_s
    last = fleet.replicas['i-0']
    fleet.store.write('servers/i-0', last.describe(slots=1))
    await asyncio.sleep(0.5)
    last.work_s = 10
    _, blocker = await fleet.begin('/once/x', deadline_ms=9000)
    await platformfleet.wait_until(lambda: last.runs)
    last.work_s = 0.1
    others = [
        await fleet.add_replica(
            f'i-{number}', slots=1, default_action='reset', work_s=first_s
        )
        for number in (1, 2)
    ]
    await asyncio.sleep(0.5)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', fleet.instance_ports['entry-0'][0].port
    )
    fields = [
        (b'Host', platformfleet.HOST.encode()),
        (b'Attempt-Id', b'x-1'),
        (b'Deadline-Ms', b'4000'),
        (b'Authorization', b'Bearer ' + platformfleet.KEY.encode()),
    ]
    writer.write(messages.format_request(b'POST', path, fields, b''))
    await platformfleet.wait_until(lambda: any(r.runs for r in others))
    for replica in others:
        if not replica.runs:
            replica.work_s = second_s
    asyncio.get_running_loop().call_later(blocked_s, blocker.abort)
    received = await read_all(reader, 4.5)
    writer.close()
    return received, fleet.list_runs().count('x-1')


def make_lost_routes():
    return [
        make_stream_route(),
        platformfleet.make_route(
            'safe', 'safe', max_attempts=3, timeout_ms=4000
        ),
        platformfleet.make_route('once', 'unsafe', timeout_ms=9000),
    ]


async def test_a_caller_gets_one_answer_after_two_lost_runs():
    async with platformfleet.running(
        replicas=1, routes=make_lost_routes()
    ) as fleet:
        received, run_count = await send_beside_lost_runs(
            fleet, b'/safe/x', (3.1, 2.0, 1.2)
        )
    assert received.count(b'HTTP/1.1 ') == 1, received
    assert run_count <= 3


async def test_a_caller_gets_one_end_of_a_stream_after_two_lost_runs():
    async with platformfleet.running(
        replicas=1, routes=make_lost_routes()
    ) as fleet:
        received, run_count = await send_beside_lost_runs(
            fleet, b'/stream/paused/x', (2.9, 1.8, 1.4)
        )
    assert received.count(b'0\r\n\r\n') == 1, received
    assert run_count <= 3


async def test_sound_replicas_that_pause_run_no_more_than_the_route_allows():
    async with platformfleet.running(
        replicas=4, routes=[make_stream_route()]
    ) as fleet:
        for replica in fleet.replicas.values():
            replica.events = 3
            replica.event_gap_s = 1.6
        responses = await asyncio.gather(
            *(
                fleet.send('/stream/paused/x', deadline_ms=12000)
                for _ in range(4)
            )
        )
        runs = fleet.list_runs()
    assert all(response.is_complete for response in responses)
    assert max(runs.count(request_id) for request_id in runs) <= 3


@pytest.mark.parametrize('denial', ['budget', 'route', 'key'])
async def test_a_hedge_that_would_be_denied_takes_no_slots(denial, caplog):
    """Slots and connections are for requests that may be sent."""
    caplog.set_level('DEBUG')
    options = {'retry_ratio': 0, 'retry_slack': 0} if denial == 'budget' else {}
    async with platformfleet.running(
        replicas=3, instances=0, routes=[make_stream_route()]
    ) as fleet:
        await fleet.add_instance('entry-0', **options)
        for replica in fleet.replicas.values():
            replica.default_action = 'hang'
        response, _ = await fleet.begin('/stream/paused/x', deadline_ms=6000)
        await platformfleet.wait_until(fleet.list_runs)
        configuration = platformfleet.make_configuration(
            2, routes=[platformfleet.make_route('other', 'safe')]
        )
        if denial == 'key':
            configuration['routes'] = [make_stream_route()]
            configuration['tenants'][0]['api_keys'] = ['another-key']
        if denial != 'budget':
            fleet.store.write('op/config', configuration)
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
    events = [record.getMessage() for record in caplog.records]
    assert events.count('hedge_denied') > 1
    assert events.count('slot_granted') == 1


@pytest.mark.parametrize('path', ['/stream/paused/x', '/safe/x'])
async def test_a_request_that_must_run_once_by_now_is_not_sent_again(path):
    """A new configuration changes the type of the route, not its service."""
    async with platformfleet.running(
        replicas=3, routes=make_lost_routes()
    ) as fleet:
        for replica in fleet.replicas.values():
            replica.default_action = 'hang'
        response, _ = await fleet.begin(path, deadline_ms=4000)
        await platformfleet.wait_until(fleet.list_runs)
        routes = [
            platformfleet.make_route('stream/paused', 'streaming'),
            platformfleet.make_route('safe', 'unsafe'),
        ]
        fleet.store.write(
            'op/config', platformfleet.make_configuration(2, routes=routes)
        )
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        runs = fleet.list_runs()
    assert len(runs) == 1


async def test_a_large_answer_that_is_relayed_ends_the_silent_run():
    """It can't be taken back when it falls silent, nor joined with another."""
    actions = [platformreplica.Pause(0, 2), platformreplica.Pause(5, 30)]
    chosen = []

    async with platformfleet.running(replicas=2) as fleet:
        for replica in fleet.replicas.values():
            replica.padding = changingreplicas.PADDING

            def choose(request, replica=replica):
                chosen.append(replica)
                return actions[len(chosen) - 1]

            replica.choose = choose
        response, _ = await fleet.begin('/safe/x')
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        (request_id,) = {name for name in fleet.list_runs()}
    silent, relayed = chosen
    body = f'{relayed.name} ran {request_id}'.encode() + relayed.padding
    assert silent.cancelled == [request_id]
    assert response.status == messages.OK
    assert not response.is_complete
    assert response.body == body[: len(body) * 5 // relayed.events]
