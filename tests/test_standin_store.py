import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lavenderledge.standins import store, storeerrors
from tests import serving

EVERYTHING = {'key': b'\0', 'range_end': b'\0'}
KEYS = st.sampled_from([b'a', b'b', b'ba', b'c'])


class StoreMachine(stateful.RuleBasedStateMachine):
    """Compares the store with a dict, and replayed with live watches."""

    def __init__(self):
        super().__init__()
        self.store = store.Store(clock=serving.ManualClock())
        self.oracle = {}
        self.revision = 1
        self.received = []
        self.store.watch(EVERYTHING, self.received.append)

    @stateful.rule(key=KEYS, value=st.binary(max_size=2))
    def put(self, key, value):
        self.revision += 1
        self.oracle[key] = value
        response = self.store.put({'key': key, 'value': value}).ok
        assert response['header']['revision'] == self.revision

    @stateful.rule(key=KEYS, end=KEYS)
    def delete(self, key, end):
        removed = [name for name in self.oracle if key <= name < end]
        self.revision += bool(removed)
        for name in removed:
            self.oracle.pop(name)
        response = self.store.delete_range({'key': key, 'range_end': end}).ok
        assert response['deleted'] == len(removed)

    @stateful.rule(keys=st.lists(KEYS, min_size=1, max_size=3, unique=True))
    def create_in_group(self, keys):
        requests = [
            {
                'compare': [{'key': key, 'target': 'CREATE'}],
                'success': [{'request_put': {'key': key, 'value': b'new'}}],
                'failure': [{'request_range': {'key': key}}],
            }
            for key in keys
        ]
        steps = [{'request_txn': request} for request in requests]
        results = self.store.txn({'success': steps}).ok['responses']
        self.revision += any(key not in self.oracle for key in keys)
        for key, result in zip(keys, results, strict=True):
            nested = result['response_txn']
            assert nested['succeeded'] == (key not in self.oracle)
            if not nested['succeeded']:
                pair = nested['responses'][0]['response_range']['kvs'][0]
                assert pair['value'] == self.oracle[key]
            self.oracle.setdefault(key, b'new')

    @stateful.invariant()
    def matches_oracle(self):
        response = self.store.range(EVERYTHING).ok
        assert response['header']['revision'] == self.revision
        pairs = [(pair['key'], pair['value']) for pair in response['kvs']]
        assert pairs == sorted(self.oracle.items())
        replayed = []
        self.store.close_watch(
            self.store.watch(
                EVERYTHING | {'start_revision': 1}, replayed.append
            )
        )
        events = [
            event
            for response in self.received
            for event in response.get('events', [])
        ]
        replayed_events = [
            event
            for response in replayed
            for event in response.get('events', [])
        ]
        assert events == replayed_events
        last_pairs = {}
        for event in events:
            pair = event['kv'] if event['type'] == 'PUT' else None
            last_pairs[event['kv']['key']] = pair
        rebuilt = [pair for _, pair in sorted(last_pairs.items()) if pair]
        assert rebuilt == response['kvs']


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
def test_a_rejected_transaction_changes_nothing(steps, error):
    state = store.Store(clock=serving.ManualClock())
    valid = {'request_put': {'key': b'first'}}
    assert state.txn({'success': [valid, *steps]}).error == error
    assert state.header['revision'] == 1


def test_an_expired_lease_removes_its_keys():
    clock = serving.ManualClock()
    state = store.Store(clock=clock)
    responses = []
    state.watch({'key': b'k'}, responses.append)
    number = state.grant_lease({'TTL': 5}).ok['ID']
    state.put({'key': b'k', 'lease': number})
    clock.now_s += 4
    assert state.renew_lease({'ID': number}).ok['TTL'] == 5
    clock.now_s += 4
    assert state.range({'key': b'k'}).ok['count'] == 1
    clock.now_s += 1
    assert state.range({'key': b'k'}).ok['count'] == 0
    assert responses[-1]['events'][0]['type'] == 'DELETE'
    assert state.renew_lease({'ID': number}).ok['TTL'] == 0
