"""The caches of the store's content, and their ages."""

import hypothesis
from hypothesis import strategies as st

from lavenderledge.controllers import caches
from lavenderledge.http1 import bounds
from lavenderledge.policy import routes, slots
from tests import serving


def make_listed(name, *, is_ready=True):
    info = slots.ReplicaInfo(name, 'model', f'{name}:1', 'a', 4, 0)
    return caches.ListedReplica(info, is_ready=is_ready)


def cut_off(cache, clock, *, for_s):
    """Simulate an outage of the store."""
    cache.confirm(clock.now_s)
    cache.entry_cache.note_outage()
    clock.now_s += for_s
    cache.entry_cache.note_outage()
    cache.confirm(clock.now_s)


def list_names(cache):
    return [info.name for info in cache.list_usable()]


def make_configuration(version):
    return routes.Configuration(
        version, {}, {}, {}, False, bounds.Bounds(1, 1, 1, 1)
    )


@hypothesis.given(st.lists(st.tuples(st.integers(0, 9), st.floats(0, 2))))
def test_versions_never_go_back(steps):
    clock = serving.ManualClock()
    cache = caches.ConfigurationCache(clock=clock)
    highest = -1
    for version, pause_s in steps:
        clock.now_s += pause_s
        cache.accept(make_configuration(version), clock.now_s)
        highest = max(highest, version)
        assert cache.current.version == highest


@hypothesis.given(st.lists(st.tuples(st.floats(0, 9), st.integers(1, 3))))
def test_a_peer_never_makes_a_configuration_younger_than_it_is(reports):
    clock = serving.ManualClock()
    cache = caches.ConfigurationCache(clock=clock)
    cache.accept(make_configuration(2), clock.now_s)
    confirmed = [clock.now_s]
    for age_s, version in reports:
        clock.now_s += 1
        cache.apply_peer_confirmation(version, clock.now_s - age_s)
        if version == 2:
            confirmed.append(clock.now_s - age_s)
        assert cache.age_s() >= clock.now_s - max(confirmed) - 1e-6


def test_expired_replicas_stay_until_the_grace_period_ends():
    clock = serving.ManualClock()
    cache = caches.ReplicaCache(clock=clock)
    cache.entry_cache.replace({name: make_listed(name) for name in 'ab'})
    cache.entry_cache.note_outage()
    cache.entry_cache.update({'a': None, 'b': None}.items())
    assert list_names(cache) == ['a', 'b']
    clock.now_s += 1
    cache.entry_cache.update({'b': make_listed('b')}.items())
    clock.now_s += caches.RELIST_GRACE_S
    assert list_names(cache) == ['b']
    cache.entry_cache.update({'b': None}.items())
    assert list_names(cache) == []


def test_a_leaving_replica_is_removed_without_grace():
    clock = serving.ManualClock()
    cache = caches.ReplicaCache(clock=clock)
    cache.entry_cache.replace({name: make_listed(name) for name in 'abc'})
    cache.entry_cache.note_outage()
    leaving = make_listed('a', is_ready=False)
    cache.entry_cache.update([('a', leaving), ('a', None)])
    cache.entry_cache.update([('b', None), ('c', None)])
    assert list_names(cache) == ['b', 'c']
    cache.entry_cache.update([('c', make_listed('c', is_ready=False))])
    cache.entry_cache.update([('c', None)])
    assert list_names(cache) == ['b']


def test_a_few_replicas_that_expire_in_an_outage_are_removed():
    clock = serving.ManualClock()
    cache = caches.ReplicaCache(clock=clock)
    cache.entry_cache.replace({name: make_listed(name) for name in 'abcde'})
    cut_off(cache, clock, for_s=3)
    cache.entry_cache.update([('a', None), ('f', make_listed('f'))])
    assert list_names(cache) == ['b', 'c', 'd', 'e', 'f']
    assert cache.reported_age_s() == 0
    cache.entry_cache.update([('b', None), ('c', None)])
    assert list_names(cache) == ['d', 'e', 'f']


def test_a_mostly_expired_list_is_used_and_reported_as_old():
    clock = serving.ManualClock()
    cache = caches.ReplicaCache(clock=clock)
    cache.entry_cache.replace({name: make_listed(name) for name in 'abc'})
    cut_off(cache, clock, for_s=3)
    cache.entry_cache.update([('a', None), ('b', None)])
    assert list_names(cache) == ['a', 'b', 'c']
    assert cache.reported_age_s() == 3
    assert cache.age_s() == 0
    clock.now_s += caches.RELIST_GRACE_S + 0.1
    assert list_names(cache) == ['c']
    assert cache.reported_age_s() == cache.age_s()


def test_a_replica_that_left_may_return_and_old_lists_are_ignored():
    clock = serving.ManualClock()
    cache = caches.ReplicaCache(clock=clock)
    cache.confirm(clock.now_s)
    cache.entry_cache.replace({'a': make_listed('a')})
    assert not cache.has_left('a')
    cache.entry_cache.update({'a': make_listed('a', is_ready=False)}.items())
    assert cache.has_left('a')
    cache.entry_cache.update({'a': make_listed('a')}.items())
    assert not cache.has_left('a')
    cache.entry_cache.update({'a': None}.items())
    assert cache.has_left('a')
    clock.now_s += 11
    assert not cache.has_left('a')


def test_the_newer_list_decides_whether_a_replica_has_left():
    clock = serving.ManualClock()
    cache = caches.ReplicaCache(clock=clock)

    def judge(name, *, peer_age_s):
        return cache.judge(
            name, listed_s=clock.now_s - peer_age_s, max_age_s=1.6
        )

    assert judge('a', peer_age_s=1.5) is caches.Standing.LISTED
    assert judge('a', peer_age_s=1.7) is caches.Standing.UNCONFIRMED
    cache.entry_cache.replace({'a': make_listed('a')})
    cache.confirm(clock.now_s)
    clock.now_s += 1
    assert judge('a', peer_age_s=5) is caches.Standing.LISTED
    assert judge('b', peer_age_s=5) is caches.Standing.LEFT
    assert judge('b', peer_age_s=0.5) is caches.Standing.LISTED
    clock.now_s += 1
    assert judge('a', peer_age_s=5) is caches.Standing.UNCONFIRMED
    cache.entry_cache.update([('a', make_listed('a', is_ready=False))])
    assert judge('a', peer_age_s=0) is caches.Standing.LEFT


def test_a_replica_that_may_have_expired_in_an_outage_has_not_left():
    clock = serving.ManualClock()
    cache = caches.ReplicaCache(clock=clock)
    cache.entry_cache.note_outage()
    cache.entry_cache.replace({'a': make_listed('a')})
    cache.confirm(clock.now_s)
    granted = {'listed_s': clock.now_s - 5, 'max_age_s': 1.6}
    assert cache.judge('b', **granted) is caches.Standing.LISTED
    clock.now_s += caches.RELIST_GRACE_S + 0.1
    cache.confirm(clock.now_s)
    assert cache.judge('b', **granted) is caches.Standing.LEFT


def test_a_version_is_superseded_once_a_newer_one_may_be_in_force():
    clock = serving.ManualClock()
    cache = caches.ConfigurationCache(clock=clock)
    cache.accept(make_configuration(5), clock.now_s)
    clock.now_s += 60
    # An outage: nothing newer is known.
    assert not cache.is_superseded(3)
    cache.confirm(clock.now_s)
    clock.now_s += 2.9
    cache.note_peer_version(7)
    assert not cache.is_superseded(3)
    clock.now_s += 0.2
    assert cache.is_superseded(3)
    cache.accept(make_configuration(7), clock.now_s)
    assert not cache.is_superseded(3)


def test_an_older_store_does_not_confirm_a_version_that_a_peer_has_outdated():
    clock = serving.ManualClock()
    cache = caches.ConfigurationCache(clock=clock)
    start_s = clock.now_s
    cache.accept(make_configuration(1), start_s)
    clock.now_s += 1
    cache.apply_peer_confirmation(2, start_s)
    # This may have been answered before version 2 was written.
    cache.confirm(start_s + 0.5)
    assert cache.age_s() == 1
    clock.now_s += 1
    cache.confirm(clock.now_s)
    assert cache.age_s() == float('inf')
    cache.accept(make_configuration(2), clock.now_s)
    assert cache.age_s() == 0
