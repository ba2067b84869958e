"""What is believed of the store's content, with its age."""

import hypothesis
from hypothesis import strategies as st

from lavenderledge.controllers import caches
from lavenderledge.http1 import bounds
from lavenderledge.policy import routes, slots
from tests import serving


def make_listed(name, *, is_ready=True):
    info = slots.ReplicaInfo(name, 'model', f'{name}:1', 'a', 4, 0)
    return caches.ListedReplica(info, is_ready=is_ready)


def cut_off(belief, clock, *, for_s):
    """Lose the store and regain it."""
    belief.confirm(clock.now_s)
    belief.entry_cache.note_outage()
    clock.now_s += for_s
    belief.entry_cache.note_outage()
    belief.confirm(clock.now_s)


def list_names(belief):
    return [info.name for info in belief.list_usable()]


def make_configuration(version):
    return routes.Configuration(
        version, {}, {}, {}, False, bounds.Bounds(1, 1, 1, 1)
    )


@hypothesis.given(st.lists(st.tuples(st.integers(0, 9), st.floats(0, 2))))
def test_versions_never_go_back(steps):
    clock = serving.ManualClock()
    belief = caches.ConfigurationCache(clock=clock)
    highest = -1
    for version, pause_s in steps:
        clock.now_s += pause_s
        belief.accept(make_configuration(version), clock.now_s)
        highest = max(highest, version)
        assert belief.current.version == highest


@hypothesis.given(st.lists(st.tuples(st.floats(0, 9), st.integers(1, 3))))
def test_a_peers_word_never_makes_a_belief_younger_than_it_is(words):
    clock = serving.ManualClock()
    belief = caches.ConfigurationCache(clock=clock)
    belief.accept(make_configuration(2), clock.now_s)
    confirmed = [clock.now_s]
    for age_s, version in words:
        clock.now_s += 1
        belief.apply_peer_confirmation(version, clock.now_s - age_s)
        if version == 2:
            confirmed.append(clock.now_s - age_s)
        assert belief.age_s() >= clock.now_s - max(confirmed) - 1e-6


def test_lapses_count_only_once_the_store_is_back_for_a_while():
    clock = serving.ManualClock()
    belief = caches.ReplicaCache(clock=clock)
    belief.entry_cache.replace({name: make_listed(name) for name in 'ab'})
    belief.entry_cache.note_outage()
    belief.entry_cache.update({'a': None, 'b': None}.items())
    assert list_names(belief) == ['a', 'b']
    clock.now_s += 1
    belief.entry_cache.update({'b': make_listed('b')}.items())
    clock.now_s += caches.RELIST_GRACE_S
    assert list_names(belief) == ['b']
    belief.entry_cache.update({'b': None}.items())
    assert list_names(belief) == []


def test_who_said_that_it_leaves_does_not_lapse():
    clock = serving.ManualClock()
    belief = caches.ReplicaCache(clock=clock)
    belief.entry_cache.replace({name: make_listed(name) for name in 'abc'})
    belief.entry_cache.note_outage()
    leaving = make_listed('a', is_ready=False)
    belief.entry_cache.update([('a', leaving), ('a', None)])
    belief.entry_cache.update([('b', None), ('c', None)])
    assert list_names(belief) == ['b', 'c']
    belief.entry_cache.update([('c', make_listed('c', is_ready=False))])
    belief.entry_cache.update([('c', None)])
    assert list_names(belief) == ['b']


def test_few_that_ended_during_a_cut_are_not_used_again():
    clock = serving.ManualClock()
    belief = caches.ReplicaCache(clock=clock)
    belief.entry_cache.replace({name: make_listed(name) for name in 'abcde'})
    cut_off(belief, clock, for_s=3)
    belief.entry_cache.update([('a', None), ('f', make_listed('f'))])
    assert list_names(belief) == ['b', 'c', 'd', 'e', 'f']
    assert belief.reported_age_s() == 0
    belief.entry_cache.update([('b', None), ('c', None)])
    assert list_names(belief) == ['d', 'e', 'f']


def test_a_list_that_mostly_lapsed_is_used_and_called_old():
    clock = serving.ManualClock()
    belief = caches.ReplicaCache(clock=clock)
    belief.entry_cache.replace({name: make_listed(name) for name in 'abc'})
    cut_off(belief, clock, for_s=3)
    belief.entry_cache.update([('a', None), ('b', None)])
    assert list_names(belief) == ['a', 'b', 'c']
    assert belief.reported_age_s() == 3
    assert belief.age_s() == 0
    clock.now_s += caches.RELIST_GRACE_S + 0.1
    assert list_names(belief) == ['c']
    assert belief.reported_age_s() == belief.age_s()


def test_a_replica_that_left_may_return_and_old_lists_say_nothing():
    clock = serving.ManualClock()
    belief = caches.ReplicaCache(clock=clock)
    belief.confirm(clock.now_s)
    belief.entry_cache.replace({'a': make_listed('a')})
    assert not belief.has_left('a')
    belief.entry_cache.update({'a': make_listed('a', is_ready=False)}.items())
    assert belief.has_left('a')
    belief.entry_cache.update({'a': make_listed('a')}.items())
    assert not belief.has_left('a')
    belief.entry_cache.update({'a': None}.items())
    assert belief.has_left('a')
    clock.now_s += 11
    assert not belief.has_left('a')
