import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lavenderledge.standins import storeerrors, store
from tests import serving

EVERYTHING = {'key': b'\0', 'range_end': b'\0'}
KEYS = st.sampled_from([b'a', b'b', b'ba', b'c'])


class StoreMachine(stateful.RuleBasedStateMachine):
    """The store against a plain dict, and its watches against both."""

    def __init__(self):
        super().__init__()
        self.store = store.Store(clock=serving.ManualClock())
        self.oracle = {}
        self.revision = 1
        self.live = []
        self.store.watch(EVERYTHING, self.live.append)

    @stateful.rule(key=KEYS, value=st.binary(max_size=2))
    def put(self, key, value):
        self.revision += 1
        self.oracle[key] = value
        done = self.store.put({'key': key, 'value': value}).ok
        assert done['header']['revision'] == self.revision

    @stateful.rule(key=KEYS, end=KEYS)
    def delete(self, key, end):
        gone = [name for name in self.oracle if key <= name < end]
        self.revision += bool(gone)
        for name in gone:
            self.oracle.pop(name)
        done = self.store.delete_range({'key': key, 'range_end': end}).ok
        assert done['deleted'] == len(gone)

    @stateful.rule(keys=st.lists(KEYS, min_size=1, max_size=3, unique=True))
    def create_in_group(self, keys):
        nested = [
            {
                'compare': [{'key': key, 'target': 'CREATE'}],
                'success': [{'request_put': {'key': key, 'value': b'new'}}],
                'failure': [{'request_range': {'key': key}}],
            }
            for key in keys
        ]
        steps = [{'request_txn': inner} for inner in nested]
        done = self.store.txn({'success': steps}).ok['responses']
        self.revision += any(key not in self.oracle for key in keys)
        for key, step in zip(keys, done, strict=True):
            inner = step['response_txn']
            assert inner['succeeded'] == (key not in self.oracle)
            if not inner['succeeded']:
                found = inner['responses'][0]['response_range']['kvs'][0]
                assert found['value'] == self.oracle[key]
            self.oracle.setdefault(key, b'new')

    @stateful.invariant()
    def agrees(self):
        found = self.store.range(EVERYTHING).ok
        assert found['header']['revision'] == self.revision
        pairs = [(pair['key'], pair['value']) for pair in found['kvs']]
        assert pairs == sorted(self.oracle.items())
        replayed = []
        self.store.close_watch(
            self.store.watch(
                EVERYTHING | {'start_revision': 1}, replayed.append
            )
        )
        events = [seen for sent in self.live for seen in sent.get('events', [])]
        again = [seen for sent in replayed for seen in sent.get('events', [])]
        assert events == again
        state = {}
        for event in events:
            kept = event['kv'] if event['type'] == 'PUT' else None
            state[event['kv']['key']] = kept
        assert [pair for _, pair in sorted(state.items()) if pair] == found[
            'kvs'
        ]


test_store = StoreMachine.TestCase


@pytest.mark.parametrize(('steps', 'error'), [
    ([{'request_put': {'key': b'k'}}] * 2, storeerrors.DUPLICATE_KEY),
    ([{'request_range': {'key': b'k'}}] * 129, storeerrors.TOO_MANY_OPERATIONS),
    ([{'request_put': {'key': b'k', 'lease': 7}}], storeerrors.LEASE_UNKNOWN),
    ([{'request_put': {'key': b'k', 'value': bytes(2**20 + 1)}}],
     storeerrors.TOO_LARGE),
    ([{'request_txn': {'failure': [{'request_put': {}}]}}],
     storeerrors.KEY_MISSING),
])  # fmt: skip
def test_a_refused_transaction_changes_nothing(steps, error):
    kept = store.Store(clock=serving.ManualClock())
    good = {'request_put': {'key': b'first'}}
    assert kept.txn({'success': [good, *steps]}).error == error
    assert kept.header['revision'] == 1


def test_a_lease_takes_its_keys_along():
    clock = serving.ManualClock()
    kept = store.Store(clock=clock)
    seen = []
    kept.watch({'key': b'k'}, seen.append)
    number = kept.grant_lease({'TTL': 5}).ok['ID']
    kept.put({'key': b'k', 'lease': number})
    clock.now_s += 4
    assert kept.renew_lease({'ID': number}).ok['TTL'] == 5
    clock.now_s += 4
    assert kept.range({'key': b'k'}).ok['count'] == 1
    clock.now_s += 1
    assert kept.range({'key': b'k'}).ok['count'] == 0
    assert seen[-1]['events'][0]['type'] == 'DELETE'
    assert kept.renew_lease({'ID': number}).ok['TTL'] == 0
