"""An instance's entry in the store, whose writes may take effect late."""

import asyncio

import expression
import msgspec
import pytest

from lavenderledge.controllers import registration, slotrequester
from lavenderledge.policy import retrybudget
from lavenderledge.registry import store as stores
from tests import platformfleet, serving

NAME = 'entry-0'
KEY = f'{registration.PREFIX}{NAME}'
UNANSWERED = stores.StoreFailure(stores.Fault.UNREACHABLE, 'no answer')
NO_LEASE = stores.StoreFailure(stores.Fault.NO_LEASE, 'ended')


def make_member(name):
    return registration.Member(name, f'{name}:1')


def make_change(name, lease=1, revision=1):
    content = msgspec.json.encode(make_member(name))
    key = f'{registration.PREFIX}{name}'
    return stores.Change(key, content, revision, lease)


class Store:
    """Leases and writes; the next ``lost`` writes are not answered."""

    def __init__(self):
        self.lost = 0
        self.late = []
        self.leases = set()
        self.entry = None
        self.writes = 0

    async def open_lease(self, ttl_s):
        lease = stores.Lease(len(self.leases) + 1, 0)
        self.leases.add(lease.number)
        return expression.Ok(lease)

    async def keep_lease(self, lease):
        if lease.number not in self.leases:
            return expression.Error(NO_LEASE)
        return expression.Ok(None)

    async def put(self, key, content, *, lease):
        self.writes += 1
        change = stores.Change(key, content, self.writes, lease.number)
        if self.lost:
            self.lost -= 1
            self.late.append(change)
            return expression.Error(UNANSWERED)
        self.entry = change
        return expression.Ok(None)

    def apply_late(self):
        for change in self.late:
            if change.lease in self.leases:
                self.entry = change

    def expire_all_but(self, lease):
        self.leases &= {lease}
        if self.entry.lease not in self.leases:
            self.entry = stores.Change(KEY, None, 9)


class Setup:
    def __init__(self):
        self.clock = serving.ManualClock()
        self.store = Store()
        self.registration = registration.Registration(
            own=make_member(NAME),
            store=self.store,
            clock=self.clock,
            on_change=lambda addresses: None,
        )

    def list_members(self, *changes):
        self.registration.apply_list(changes, self.clock.now_s)

    def show_entry(self):
        self.registration.apply_changes([self.store.entry], self.clock.now_s)


@pytest.fixture
def setup():
    return Setup()


async def test_a_write_that_takes_effect_late_does_not_end_the_entry(setup):
    setup.store.lost = 1
    assert not await setup.registration._renew()
    assert await setup.registration._renew()
    setup.store.apply_late()
    kept = setup.registration._lease.number
    setup.store.expire_all_but(kept)
    assert setup.store.entry.lease == kept


@pytest.mark.parametrize(
    'entry',
    [
        pytest.param(make_change(NAME, lease=99), id='of another lease'),
        pytest.param(stores.Change(KEY, None, 9), id='removed'),
        pytest.param(
            make_change(NAME)._replace(content=b'{}'), id='of other content'
        ),
    ],
)
async def test_an_entry_that_is_not_the_renewed_one_is_written_again(
    setup, entry
):
    await setup.registration._renew()
    setup.store.entry = entry
    setup.show_entry()
    assert await setup.registration._renew()
    assert setup.store.entry.lease == setup.registration._lease.number
    setup.show_entry()
    assert await setup.registration._renew()
    assert setup.store.writes == 2


async def test_an_entry_that_a_list_lacks_is_written_again(setup):
    await setup.registration._renew()
    setup.clock.now_s += 1
    setup.list_members()
    await setup.registration._renew()
    assert setup.store.writes == 2


async def test_a_list_that_was_requested_before_a_write_says_nothing_of_it(
    setup,
):
    requested_s = setup.clock.now_s
    setup.clock.now_s += 1
    await setup.registration._renew()
    setup.registration.apply_list((), requested_s)
    await setup.registration._renew()
    assert setup.store.writes == 1


async def test_a_change_seen_during_a_write_counts(setup):
    put = setup.store.put

    async def put_before_another(key, content, *, lease):
        answer = await put(key, content, lease=lease)
        setup.store.entry = make_change(NAME, lease=99)
        setup.show_entry()
        return answer

    setup.store.put = put_before_another
    await setup.registration._renew()
    setup.store.put = put
    await setup.registration._renew()
    assert setup.store.entry.lease == setup.registration._lease.number


def test_without_its_entry_an_instance_is_not_the_only_one(setup):
    setup.list_members(*map(make_change, (NAME, 'entry-1', 'entry-2')))
    assert setup.registration.count_alive() == 3
    setup.list_members()
    assert setup.registration.count_alive() == 3
    setup.list_members(make_change(NAME))
    assert setup.registration.count_alive() == 1


def test_an_instance_that_is_not_listed_yet_counts_itself(setup):
    setup.list_members(*map(make_change, ('entry-1', 'entry-2')))
    assert setup.registration.count_alive() == 3


def test_retries_without_an_entry_stay_within_the_former_share(setup):
    setup.list_members(*map(make_change, (NAME, 'entry-1', 'entry-2')))
    setup.list_members()
    budget = retrybudget.RetryBudget(budget=retrybudget.Budget(0, 60, 10))
    taken = [
        budget.take(
            setup.clock.now_s, instance_count=setup.registration.count_alive()
        )
        for _ in range(60)
    ]
    assert sum(taken) <= 60 / 3


def test_an_instance_allocates_once_it_has_listed_itself(setup):
    assert not setup.registration.may_allocate()
    setup.list_members()
    assert not setup.registration.may_allocate()
    setup.list_members(make_change(NAME))
    assert setup.registration.may_allocate()
    setup.list_members()
    assert setup.registration.may_allocate()


def test_an_instance_that_cannot_be_listed_allocates_after_a_while(setup):
    setup.list_members()
    setup.clock.now_s += registration._MAX_UNLISTED_S + 0.1
    assert setup.registration.may_allocate()


async def test_an_instance_whose_entry_vanished_is_listed_again():
    async with platformfleet.running(instances=2) as fleet:
        await platformfleet.wait_until(
            lambda: fleet.instances['entry-0']._registration.count_alive() == 2
        )
        lease = fleet.store.keys[KEY][2]
        fleet.store.delete(KEY)
        await platformfleet.wait_until(lambda: KEY in fleet.store.keys)
        assert fleet.store.keys[KEY][2] == lease


async def test_requests_wait_until_the_list_has_the_instance_itself():
    async with platformfleet.running(instances=0) as fleet:
        fleet.store.refused_prefix = registration.PREFIX
        await fleet.add_instance('entry-0')
        requester = fleet.instances['entry-0']._requester
        assert requester.allocator == 'entry-0'
        waiting = asyncio.create_task(fleet.send('/safe/x'))
        await platformfleet.wait_until(lambda: requester._entries)
        await asyncio.sleep(slotrequester.ALLOCATOR_TIMEOUT_S)
        assert not fleet.list_runs()
        fleet.store.refused_prefix = None
        response = await waiting
        assert response.status == 200
