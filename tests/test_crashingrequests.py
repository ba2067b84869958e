"""Requests that crash each replica that begins to run them."""

import asyncio
import collections
import itertools

import pytest

from lavenderledge.http1 import messages
from tests import platformfleet, platformreplica

PATHS = ['/safe/x', '/once/x', '/stream/x', '/stream/resumable/x']
POISON = b'poison'
OTHER_KEY = 'key-of-other'
NO_ANSWER = platformreplica.NO_ANSWER
# Crashes at any point of an answer, on each kind of route.
CRASHES = [
    *itertools.product(PATHS, [NO_ANSWER], [False, True]),
    ('/safe/x', platformreplica.CrashPoint(is_cut=True), False),
    ('/once/x', platformreplica.CrashPoint(is_cut=True), True),
    ('/stream/x', platformreplica.CrashPoint(is_cut=True), False),
    ('/stream/x', platformreplica.CrashPoint(events=1), True),
    ('/stream/x', platformreplica.CrashPoint(events=6), False),
    ('/stream/resumable/x', platformreplica.CrashPoint(), True),
    ('/stream/resumable/x', platformreplica.CrashPoint(events=1), False),
    ('/stream/resumable/x', platformreplica.CrashPoint(2, is_cut=True), True),
]
PAUSE_S = 0.3
# The rule counts requests that are sent this long after the third crash.
CONTACT_S = 3.0
MAX_LATE_RUNS = 3
OBSERVED_S = 5.0
MIN_SERVED = 0.95


def make_tenants():
    """Return two customers without a quota."""
    (dealer,) = platformfleet.make_configuration()['tenants']
    other = {**dealer, 'name': 'other', 'api_keys': [OTHER_KEY]}
    return [dealer, other]


def run_fleet(*, replicas=3):
    """Run a fleet with two customers for the duration of a test."""
    return platformfleet.running(
        replicas=replicas, instances=3, tenants=make_tenants()
    )


def is_fresh_poison(request):
    """Return whether a poison request is run from its beginning."""
    is_resumed = request.fields.find(b'last-event-id') is not None
    return is_poison(request) and not is_resumed


def is_poison(request):
    """Return whether a request at a replica is the one that crashes it."""
    customer = request.fields.find(b'tenant')
    return request.body == POISON and customer == b'dealer'


def format_own_part(number):
    """Return a prompt that shares no part with another one."""
    return ((b'Prompt-Prefix', b'own-%d:60' % number),)


class Callers:
    """Requests at one instance after the other, until ``stop``."""

    def __init__(self, fleet, path, *, has_prompt):
        self.served = collections.Counter()
        self.refused = []
        self._fleet = fleet
        self._path = path
        self._has_prompt = has_prompt
        self._numbers = itertools.count()
        self._instances = itertools.cycle(fleet.instances)
        self._stopped = False

    async def leave(self, instance):
        """Send nothing more to an instance; wait for its answers."""
        others = [name for name in self._fleet.instances if name != instance]
        self._instances = itertools.cycle(others)
        listener = self._fleet.instances[instance]._caller_listener
        await platformfleet.wait_until(lambda: listener.is_idle)

    def stop(self):
        self._stopped = True

    async def send_poison(self):
        while not self._stopped:
            response = await self._send(body=POISON)
            if response.status == messages.UNAVAILABLE:
                self.refused.append(response)
            await asyncio.sleep(PAUSE_S)

    async def send_other_bodies(self):
        while not self._stopped:
            body = b'sound-%d' % next(self._numbers)
            self._count(await self._send(body=body))
            await asyncio.sleep(0.02)

    async def send_same_body(self):
        """Send the same as another customer."""
        while not self._stopped:
            self._count(await self._send(body=POISON, key=OTHER_KEY))
            await asyncio.sleep(0.02)

    def _count(self, response):
        is_served = response.status == messages.OK and response.body
        self.served[bool(is_served)] += 1

    async def _send(self, **options):
        fields = ()
        if self._has_prompt:
            fields = format_own_part(next(self._numbers))
        return await self._fleet.send(
            self._path,
            instance=next(self._instances),
            fields=fields,
            **options,
        )


async def start(fleet, path, *, point=NO_ANSWER, has_prompt=False):
    """Let replicas crash by the poison request; return callers and tasks."""
    for replica in fleet.replicas.values():
        replica.is_poison = is_poison
        replica.crash_point = point
        replica.work_s = 0.03
    callers = Callers(fleet, path, has_prompt=has_prompt)
    sends = (
        callers.send_poison,
        callers.send_other_bodies,
        callers.send_same_body,
    )
    return callers, [asyncio.create_task(send()) for send in sends]


def list_crashes(fleet):
    """Return the times of all crashes."""
    return sorted(
        itertools.chain.from_iterable(
            replica.poison_runs_s for replica in fleet.replicas.values()
        )
    )


async def find_allocator(fleet):
    """Wait until all instances have the same allocator; return its name."""
    found = set()

    def is_agreed():
        found.clear()
        found.update(
            running._requester.allocator for running in fleet.instances.values()
        )
        return len(found) == 1

    await platformfleet.wait_until(is_agreed)
    return found.pop()


async def wait_for_quarantine(fleet):
    """Let all instances refuse the request; return the crashes until then."""
    callers, tasks = await start(fleet, '/once/x')
    await platformfleet.wait_until(
        lambda: all(
            running._requester._request_quarantines
            for running in fleet.instances.values()
        )
    )
    callers.stop()
    await asyncio.gather(*tasks)
    return len(list_crashes(fleet))


async def send_poison(fleet):
    """Send the request at each instance; return the statuses."""
    responses = [
        await fleet.send('/once/x', instance=name, body=POISON)
        for name in fleet.instances
    ]
    return {response.status for response in responses}


async def check_containment(fleet, callers, tasks):
    """Check that late runs are few, and that other requests are served."""
    await platformfleet.wait_until(lambda: len(list_crashes(fleet)) > 2)
    await asyncio.sleep(CONTACT_S)
    callers.served.clear()
    await asyncio.sleep(OBSERVED_S)
    callers.stop()
    await asyncio.gather(*tasks)
    crashes_s = list_crashes(fleet)
    late = [at_s for at_s in crashes_s if at_s > crashes_s[2] + CONTACT_S]
    assert len(late) <= MAX_LATE_RUNS
    assert callers.served[True] >= MIN_SERVED * callers.served.total()
    assert callers.refused[-1].fields.find(b'retry-after') is not None


@pytest.mark.parametrize(('path', 'point', 'has_prompt'), CRASHES)
async def test_a_request_does_not_crash_one_replica_after_the_other(
    path, point, has_prompt
):
    """A run that was lost after a part of its answer was no evidence."""
    async with run_fleet() as fleet:
        callers, tasks = await start(
            fleet, path, point=point, has_prompt=has_prompt
        )
        await check_containment(fleet, callers, tasks)


@pytest.mark.parametrize('rest', ['ok', 'absent'])
async def test_the_rest_of_an_answer_does_not_clear_a_request(rest):
    """It was released when a second replica completed or refused the rest."""
    async with run_fleet(replicas=4) as fleet:
        point = platformreplica.CrashPoint(events=2)
        callers, tasks = await start(fleet, '/stream/resumable/x', point=point)
        for replica in fleet.replicas.values():
            replica.is_poison = is_fresh_poison
            replica.choose = lambda request: (
                rest if is_poison(request) else 'ok'
            )
        await check_containment(fleet, callers, tasks)


async def test_crashes_after_a_part_count_beside_a_lost_allocator():
    async with run_fleet() as fleet:
        point = platformreplica.CrashPoint(events=1)
        callers, tasks = await start(fleet, '/stream/x', point=point)
        await platformfleet.wait_until(lambda: len(list_crashes(fleet)) > 1)
        allocator = await find_allocator(fleet)
        await callers.leave(allocator)
        await fleet.stop_instance(allocator)
        await check_containment(fleet, callers, tasks)


async def test_a_quarantine_outlasts_the_allocator_that_imposed_it():
    async with run_fleet() as fleet:
        crashes = await wait_for_quarantine(fleet)
        allocator = await find_allocator(fleet)
        await fleet.stop_instance(allocator)
        await fleet.add_instance('entry-new')
        await asyncio.sleep(platformreplica.DOWN_S)
        statuses = await send_poison(fleet)
        crashed = len(list_crashes(fleet)) - crashes
    assert statuses == {messages.UNAVAILABLE}
    assert crashed == 0


async def test_a_quarantine_outlasts_all_instances():
    async with run_fleet() as fleet:
        crashes = await wait_for_quarantine(fleet)
        await asyncio.sleep(platformreplica.DOWN_S)
        names = tuple(fleet.instances)
        for name in names:
            await fleet.stop_instance(name)
        for name in names:
            await fleet.add_instance(name)
        await asyncio.sleep(1)
        statuses = await send_poison(fleet)
        crashed = len(list_crashes(fleet)) - crashes
    assert statuses == {messages.UNAVAILABLE}
    assert crashed == 0


@pytest.mark.parametrize(
    ('action', 'is_refused'),
    [('ok', False), ('absent', False), ('error', True)],
)
async def test_a_request_that_replicas_answer_between_losses_is_not_refused(
    action, is_refused
):
    """One that fails may crash the next replica."""
    async with platformfleet.running(replicas=4) as fleet:
        actions = itertools.cycle(('reset', action))
        for replica in fleet.replicas.values():
            replica.choose = lambda request: next(actions)
        for _ in range(12):
            await fleet.send('/once/x', body=b'same')
            await asyncio.sleep(0.25)
        requester = fleet.instances['entry-0']._requester
        quarantined = bool(requester._request_quarantines)
    assert quarantined == is_refused
