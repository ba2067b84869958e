"""Quarantined requests in the store, with a store that may fail."""

import expression
import pytest

from lavenderledge.capacity import manualclock
from lavenderledge.controllers import quarantinestore
from lavenderledge.policy import requestcrashes
from lavenderledge.registry import store as stores

NOW_S = manualclock.ManualClock().read_monotonic()
UNREACHABLE = expression.Error(
    stores.StoreFailure(stores.Fault.UNREACHABLE, 'no answer')
)


class Store:
    """Keeps entries with their leases; ``is_down`` fails every call."""

    def __init__(self):
        self.entries = {}
        self.lease_s = {}
        self.calls = 0
        self.is_down = False

    async def list_keys(self, prefix):
        return self._answer(
            lambda: stores.Listing(
                tuple(
                    stores.Change(key, content, 1, lease)
                    for key, (content, lease) in self.entries.items()
                    if key.startswith(prefix)
                ),
                1,
            )
        )

    async def open_lease(self, ttl_s):
        def open_lease():
            number = len(self.lease_s) + 1
            self.lease_s[number] = ttl_s
            return stores.Lease(number, 0)

        return self._answer(open_lease)

    async def put(self, key, content, *, lease):
        return self._answer(
            lambda: self.entries.update({key: (content, lease.number)})
        )

    async def end_lease(self, lease):
        def end_lease():
            self.entries = {
                key: entry
                for key, entry in self.entries.items()
                if entry[1] != lease.number
            }

        return self._answer(end_lease)

    def _answer(self, work):
        self.calls += 1
        return UNREACHABLE if self.is_down else expression.Ok(work())


class Allocator:
    """The quarantines of an allocating instance."""

    def __init__(self):
        self.quarantines = []
        self.is_allocating = True

    def list_request_quarantines(self):
        return self.quarantines

    def merge_request_quarantine(self, quarantine):
        self.quarantines.append(quarantine)


@pytest.fixture
def store():
    return Store()


def build(store):
    allocator = Allocator()
    keeper = quarantinestore.QuarantineStore(
        instance='a',
        store=store,
        clock=manualclock.ManualClock(),
        allocator=allocator,
        is_allocating=lambda: allocator.is_allocating,
    )
    return allocator, keeper


async def update(keeper, times=2):
    for _ in range(times):
        await keeper.update()


def impose(allocator, *, for_s):
    quarantine = requestcrashes.Quarantine('d', NOW_S - 1, NOW_S + for_s)
    allocator.quarantines.append(quarantine)


async def test_the_next_allocator_takes_over_what_one_wrote(store):
    allocator, keeper = build(store)
    impose(allocator, for_s=90)
    await update(keeper)
    following, other = build(store)
    await update(other)
    (taken,) = following.quarantines
    assert (taken.digest, taken.until_s) == ('d', NOW_S + 90)
    assert store.lease_s == {1: 90}


async def test_an_entry_is_written_once_and_nothing_read_again(store):
    allocator, keeper = build(store)
    impose(allocator, for_s=90)
    await update(keeper)
    calls = store.calls
    await update(keeper, 5)
    assert store.calls == calls


async def test_an_entry_goes_with_its_quarantine(store):
    allocator, keeper = build(store)
    impose(allocator, for_s=90)
    await update(keeper)
    allocator.quarantines.clear()
    await update(keeper)
    assert not store.entries


async def test_the_next_allocator_deletes_the_entry_of_a_former_one(store):
    allocator, keeper = build(store)
    impose(allocator, for_s=90)
    await update(keeper)
    following, other = build(store)
    await update(other)
    following.quarantines.clear()
    await update(other)
    assert not store.entries


async def test_what_the_store_did_not_take_is_written_later(store, caplog):
    allocator, keeper = build(store)
    await update(keeper)
    impose(allocator, for_s=90)
    store.is_down = True
    await update(keeper, 3)
    store.is_down = False
    await update(keeper)
    assert len(store.entries) == 1
    assert caplog.messages == ['quarantines_unsaved']


async def test_an_instance_that_does_not_allocate_calls_nothing(store):
    allocator, keeper = build(store)
    allocator.is_allocating = False
    impose(allocator, for_s=90)
    await update(keeper, 5)
    assert not store.calls


@pytest.mark.parametrize(
    'content', [b'', b'{}', b'[-1]', b'["x"]', b'[1e9]', b'\xff', b'[NaN]']
)
async def test_an_entry_that_cannot_be_read_is_no_quarantine(store, content):
    store.entries[f'{quarantinestore.PREFIX}d'] = (content, 0)
    allocator, keeper = build(store)
    await update(keeper)
    assert not allocator.quarantines
