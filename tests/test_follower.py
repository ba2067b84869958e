"""What a follower of a prefix asks the store after each answer."""

import asyncio
import random

import expression
import pytest

from lavenderledge import timing
from lavenderledge.controllers import follower
from lavenderledge.registry import store as stores
from tests import virtualtime


class ScriptedStore:
    """Answers from a script and records the calls.

    A watch is recorded as its revision and its wait in seconds.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def list_keys(self, prefix, *, may_be_old=False):
        self.asked.append('poll' if may_be_old else 'list')
        return self.answers.pop(0)

    async def watch(self, prefix, *, after_revision, wait_s):
        self.asked.append((after_revision, wait_s))
        return self.answers.pop(0)


def answer(revision, *contents):
    changes = tuple(
        stores.Change('op/config', content, revision) for content in contents
    )
    return expression.Ok(stores.Listing(changes, revision))


def follow(
    *answers,
    is_needed=lambda: True,
    is_large=True,
    lists_again_at=None,
    read_poll_s=lambda: 0,
):
    """Return what a follower asked, and the contents that it passed on.

    The confirmation with the number ``lists_again_at`` asks for a listing.
    """
    store = ScriptedStore(*answers)
    received = []
    confirmations = []

    def keep(changes, requested_s):
        received.extend(change.content for change in changes)

    def confirm(requested_s):
        confirmations.append(requested_s)
        if len(confirmations) == lists_again_at:
            followed.list_again()

    async def run():
        nonlocal followed
        followed = follower.Follower(
            subscription=follower.Subscription(
                prefix='op/config',
                wait_s=0.5,
                read_pause_s=lambda: 0,
                on_list=keep,
                on_changes=keep,
                on_confirmed=confirm,
                is_needed=is_needed,
                is_large=lambda: is_large,
                read_poll_s=read_poll_s,
            ),
            store=store,
            clock=virtualtime.Clock(),
            rng=random.Random(1),
            on_failure=lambda failure, is_first: None,
            on_regained=lambda failures: None,
            on_restored=lambda era: None,
        )
        while store.answers:
            await followed.step()

    followed = None
    virtualtime.run(run)
    return store.asked, received


def test_an_answer_without_changes_does_not_move_past_an_unheard_change():
    asked, received = follow(
        answer(3, b'v1'),
        # Revision 7 includes a change that this watch did not hear.
        answer(7),
        answer(8, b'v2'),
        answer(8),
    )
    assert asked == ['list', (3, 0.5), (3, 0.5), (8, 0.5)]
    assert received == [b'v1', b'v2']


def test_a_prefix_that_is_not_large_is_listed_after_a_pause():
    # A store may answer listings, and leave watches without an answer.
    needed = iter((True, False, True))
    asked, received = follow(
        answer(3, b'v1'),
        answer(9, b'v2'),
        is_needed=lambda: next(needed),
        is_large=False,
    )
    assert asked == ['list', 'list']
    assert received == [b'v1', b'v2']


def test_a_large_configuration_is_not_read_again_to_confirm_it():
    needed = iter((True, False, True, True))
    asked, received = follow(
        answer(3, b'v1'),
        answer(9),
        answer(9),
        is_needed=lambda: next(needed),
    )
    assert asked == ['list', (3, 0), (3, 0.5)]
    assert received == [b'v1']


def test_a_store_that_answers_no_watches_is_listed():
    needed = iter((True, False, True, True))
    failure = stores.StoreFailure(stores.Fault.UNREACHABLE, 'silent')
    asked, received = follow(
        answer(3, b'v1'),
        expression.Error(failure),
        answer(9, b'v2'),
        is_needed=lambda: next(needed),
    )
    assert asked == ['list', (3, 0), 'list']
    assert received == [b'v1', b'v2']


def test_a_listing_that_a_confirmation_asks_for_is_not_lost():
    asked, received = follow(
        answer(3, b'v1'),
        answer(8, b'v2'),
        answer(9, b'v3'),
        lists_again_at=2,
    )
    assert asked == ['list', (3, 0.5), 'list']
    assert received == [b'v1', b'v2', b'v3']


def test_who_polls_reads_cheap_listings_and_watches_from_the_last_one():
    pauses_s = iter((3, 3, 3, 0))
    asked, received = follow(
        answer(3, b'v1'),
        answer(9, b'v2'),
        # An old copy of the store answers.
        answer(5, b'v1'),
        answer(11, b'v3'),
        read_poll_s=lambda: next(pauses_s),
    )
    assert asked == ['list', 'poll', 'poll', (9, 0.5)]
    assert received == [b'v1', b'v2', b'v3']


def test_members_that_come_and_go_cost_who_polls_few_calls():
    """Load pattern: an instance starts or stops in each tenth of a second."""
    clock = virtualtime.Clock()
    asked = []

    class ChangingStore:
        async def list_keys(self, prefix, *, may_be_old=False):
            asked.append(0.1 if may_be_old else 1)
            return answer(int(clock.read_monotonic() * 10) + 1, b'members')

        async def watch(self, prefix, *, after_revision, wait_s):
            asked.append(1)
            await clock.sleep(timing.seconds(0.1))
            return answer(int(clock.read_monotonic() * 10) + 1, b'members')

    async def run():
        followed = follower.Follower(
            subscription=follower.Subscription(
                prefix='members',
                wait_s=10,
                read_pause_s=lambda: 3,
                on_list=lambda changes, requested_s: None,
                on_changes=lambda changes, requested_s: None,
                on_confirmed=lambda requested_s: None,
                is_needed=lambda: True,
                is_large=lambda: False,
                read_poll_s=lambda: 3,
            ),
            store=ChangingStore(),
            clock=clock,
            rng=random.Random(1),
            on_failure=lambda failure, is_first: None,
            on_regained=lambda failures: None,
            on_restored=lambda era: None,
        )
        end_s = clock.read_monotonic() + 60
        while clock.read_monotonic() < end_s:
            await clock.sleep(await followed.step())

    virtualtime.run(run)
    # A listing in full, then one of a tenth of its price each 3 s.
    assert sum(asked) <= 1 + 0.1 * 60 / 3 * 1.5


class HangingStore:
    """Answers the listing, and no watch."""

    async def list_keys(self, prefix, *, may_be_old=False):
        return answer(1)

    async def watch(self, prefix, *, after_revision, wait_s):
        await asyncio.Event().wait()


async def hang(*, frozen_s):
    """Return whether a follower counts as answered at some times, by second.

    Its instance is frozen in the middle of the watch.
    """
    clock = virtualtime.Clock()
    followed = follower.Follower(
        subscription=follower.Subscription(
            prefix='op/config',
            wait_s=0.5,
            read_pause_s=lambda: 0,
            on_list=lambda changes, requested_s: None,
            on_changes=lambda changes, requested_s: None,
            on_confirmed=lambda requested_s: None,
            is_needed=lambda: True,
            is_large=lambda: False,
        ),
        store=HangingStore(),
        clock=clock,
        rng=random.Random(1),
        on_failure=lambda failure, is_first: None,
        on_regained=lambda failures: None,
        on_restored=lambda era: None,
    )
    running = asyncio.create_task(followed.run())
    await asyncio.sleep(0.45)
    clock.freeze()
    await asyncio.sleep(frozen_s)
    clock.thaw()
    found = []
    for _ in range(3):
        await asyncio.sleep(0.25)
        found.append(followed.is_answered)
    running.cancel()
    return found


@pytest.mark.parametrize('frozen_s', [0, 10])
def test_an_answer_is_late_only_if_the_instance_waited_for_it(frozen_s):
    found = virtualtime.run(lambda: hang(frozen_s=frozen_s))
    assert found == [True, False, False]
