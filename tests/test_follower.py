"""What a follower of a prefix asks the store after each answer."""

import random

import expression

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

    async def list_keys(self, prefix):
        self.asked.append('list')
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
    *answers, is_needed=lambda: True, is_large=True, lists_again_at=None
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
