"""A silent but sound run is kept, whatever another run meets.

A replica may fall silent for a second or so and go on. The instance may begin
another run meanwhile, but the caller gets its answer also if that one can't
be had, or fails.
"""

import asyncio
import typing

import pytest

from tests import platformfleet, platformreplica, test_streampauses


LARGE = b'p' * 400_000


class Kind(typing.NamedTuple):
    """A request whose first run is silent for ``pause.seconds``."""

    route: str
    route_type: str
    timeout_ms: int
    pause: platformreplica.Pause


class Obstacle(typing.NamedTuple):
    """What another run meets.

    ``second`` is what a replica does with the second request that it could
    run. ``meanwhile`` is called with the fleet while the first run is silent.
    Unless the instance ``allocates`` slots itself, another one does.
    """

    replicas: int = 2
    second: str = 'ok'
    meanwhile: typing.Any = None
    settings: typing.Any = ()
    allocates: bool = True


KINDS = {
    'stream amid its events': Kind(
        'stream/long', 'streaming', 6000, platformreplica.Pause(1, 1.6)
    ),
    'stream before its first event': Kind(
        'stream/long', 'streaming', 6000, platformreplica.Pause(0, 1.7)
    ),
    'safe': Kind('safe/long', 'safe', 3000, platformreplica.Pause(0, 1.6)),
}


def build_configuration(kind, version=1, **changes):
    route = platformfleet.make_route(
        kind.route,
        kind.route_type,
        resumable=kind.route_type == 'streaming',
        timeout_ms=kind.timeout_ms,
        max_attempts=3,
    )
    return platformfleet.make_configuration(
        version, **{'routes': [route], **changes}
    )


def read_allocator(fleet):
    return fleet.instances['entry-0']._requester.allocator


async def stop_allocator(fleet, kind):
    fleet.instances['entry-1'].request_stop()
    await platformfleet.wait_until(lambda: read_allocator(fleet) == 'entry-0')


async def quarantine(fleet, kind):
    requester = fleet.instances['entry-0']._requester
    requester.find_quarantine_s = lambda service, parts: 5


async def supersede(fleet, kind):
    """A newer version is known to exist for long, and was not read."""
    configuration = fleet.instances['entry-0']._watcher.configuration
    configuration.is_superseded = lambda max_age_s: True


async def write_version(fleet, configuration):
    fleet.store.write('op/config', configuration)
    watcher = fleet.instances['entry-0']._watcher
    await platformfleet.wait_until(
        lambda: watcher.read_version() == configuration['version']
    )


async def remove_route(fleet, kind):
    other = platformfleet.make_route('other', kind.route_type)
    await write_version(fleet, build_configuration(kind, 2, routes=[other]))


async def remove_key(fleet, kind):
    tenant = platformfleet.make_configuration()['tenants'][0]
    tenants = [{**tenant, 'api_keys': ['another-key']}]
    await write_version(fleet, build_configuration(kind, 2, tenants=tenants))


async def move_route(fleet, kind):
    """Move the route to a service without replicas."""
    configuration = build_configuration(kind, 2)
    configuration['routes'][0]['service'] = 'empty'
    await write_version(fleet, configuration)


async def shorten_limits(fleet, kind):
    limits = {**platformfleet.LIMITS, 'idle_timeout_ms': 300}
    await write_version(fleet, build_configuration(kind, 2, limits=limits))


async def remove_replica(fleet, kind):
    """The replica that runs the request leaves, and serves on."""
    watcher = fleet.instances['entry-0']._watcher
    fleet.store.delete('servers/i-0')
    await platformfleet.wait_until(lambda: not watcher.list_replicas())


async def stop_instance(fleet, kind):
    fleet.instances['entry-0'].request_stop()


async def close_other_replicas(fleet, kind):
    for replica in fleet.replicas.values():
        if not replica.runs:
            replica.listener.stop()


OBSTACLES = {
    'no other replica': Obstacle(replicas=1),
    'other replicas are full': Obstacle(replicas=3, second='full'),
    'retry budget used up': Obstacle(
        settings=(('retry_ratio', 0), ('retry_slack', 0))
    ),
    'route removed': Obstacle(meanwhile=remove_route),
    'key removed': Obstacle(meanwhile=remove_key),
    'route moved': Obstacle(meanwhile=move_route),
    'limits shortened': Obstacle(replicas=1, meanwhile=shorten_limits),
    'replica leaves': Obstacle(replicas=1, meanwhile=remove_replica),
    'instance stops': Obstacle(meanwhile=stop_instance),
    'allocator stops': Obstacle(allocates=False, meanwhile=stop_allocator),
    'prompt is quarantined': Obstacle(meanwhile=quarantine),
    'configuration is superseded': Obstacle(meanwhile=supersede),
    'connection refused': Obstacle(meanwhile=close_other_replicas),
    'second run is reset': Obstacle(second='reset'),
    'second run is reset before it runs': Obstacle(second='early'),
    'second run fails': Obstacle(second='error'),
    # Its events may end the first run: a third one may be needed.
    'second run is cut': Obstacle(replicas=3, second='cut'),
    'second run hangs': Obstacle(second='hang'),
    'two other replicas are free': Obstacle(replicas=3),
}


def make_chooser(kind, obstacle):
    """Return a function that chooses the action of each request in turn."""
    actions = [kind.pause, obstacle.second]
    if obstacle.second == 'full':
        actions.append('full')
    remaining = iter(actions)
    return lambda request: next(remaining, 'ok')


def check_body(kind, request_id, response):
    if kind.route_type == 'streaming':
        assert response.body == test_streampauses.EXPECTED
    else:
        name = response.fields.find(b'response-seal').removeprefix(b'seal-')
        assert response.body == name + b' ran ' + request_id.encode()


@pytest.mark.parametrize('obstacle', OBSTACLES)
@pytest.mark.parametrize('kind', KINDS)
async def test_a_silent_run_is_kept_when_a_second_one_meets(kind, obstacle):
    kind = KINDS[kind]
    obstacle = OBSTACLES[obstacle]
    async with platformfleet.running(
        replicas=obstacle.replicas,
        instances=0,
        **build_configuration(kind),
    ) as fleet:
        choose = make_chooser(kind, obstacle)
        for replica in fleet.replicas.values():
            replica.choose = choose
        await fleet.add_instance('entry-0', **dict(obstacle.settings))
        if not obstacle.allocates:
            await fleet.add_instance('entry-1', processor_speed=2)
            await platformfleet.wait_until(
                lambda: read_allocator(fleet) == 'entry-1'
            )
        response, _ = await fleet.begin(
            f'/{kind.route}/x', deadline_ms=kind.timeout_ms
        )
        await platformfleet.wait_until(fleet.list_runs)
        if obstacle.meanwhile is not None:
            await obstacle.meanwhile(fleet, kind)
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
    assert (response.status, response.is_complete) == (200, True)
    check_body(kind, 'r-1', response)


@pytest.mark.parametrize('second', ['ok', 'reset', 'hang', 'cut'])
@pytest.mark.parametrize('parts', [3, 5])
async def test_a_large_answer_that_pauses_is_not_joined_with_another(
    parts, second
):
    """Its first ``parts`` sixths came; answers above 256 KiB aren't held."""
    kind = KINDS['safe']
    async with platformfleet.running(
        replicas=2, **build_configuration(kind)
    ) as fleet:
        actions = iter([platformreplica.Pause(parts, 1.6), second])
        for replica in fleet.replicas.values():
            replica.padding = LARGE
            replica.choose = lambda request: next(actions, 'ok')
        response = await fleet.send(f'/{kind.route}/x')
    assert (response.status, response.is_complete) == (200, True)
    assert response.body.endswith(LARGE)
    response.body = response.body.removesuffix(LARGE)
    check_body(kind, 'r-1', response)


@pytest.mark.parametrize('kind', KINDS)
async def test_two_runs_that_answer_at_once_make_one_answer(kind):
    """The second ones answer at all times around the first ones' next byte."""
    kind = KINDS[kind]
    delays_s = {f'r-{number}': 0.3 + number / 100 for number in range(24)}
    seen = set()

    def choose(request):
        request_id = request.fields.find(b'attempt-id').decode()
        if request_id in seen:
            return platformreplica.Pause(0, delays_s[request_id])
        seen.add(request_id)
        return kind.pause

    async with platformfleet.running(
        replicas=0, **build_configuration(kind)
    ) as fleet:
        for number in range(3):
            replica = await fleet.add_replica(f'i-{number}', slots=24)
            replica.choose = choose
            replica.event_gap_s = 0.03
        responses = await asyncio.gather(
            *(
                fleet.send(
                    f'/{kind.route}/x',
                    deadline_ms=kind.timeout_ms,
                    request_id=request_id,
                )
                for request_id in delays_s
            )
        )
    for request_id, response in zip(delays_s, responses, strict=True):
        assert (response.status, response.is_complete) == (200, True)
        check_body(kind, request_id, response)


@pytest.mark.parametrize('kind', KINDS)
async def test_a_caller_that_leaves_cancels_both_runs(kind):
    kind = KINDS[kind]
    async with platformfleet.running(
        replicas=2, **build_configuration(kind)
    ) as fleet:
        for replica in fleet.replicas.values():
            replica.choose = lambda request: platformreplica.Pause(0, 3)
        _, connection = await fleet.begin(
            f'/{kind.route}/x', deadline_ms=kind.timeout_ms
        )
        await platformfleet.wait_until(lambda: len(fleet.list_runs()) == 2)
        connection.abort()
        await platformfleet.wait_until(
            lambda: all(
                replica.cancelled == ['r-1']
                for replica in fleet.replicas.values()
            )
        )
