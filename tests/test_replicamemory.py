"""No replica gets more requests than its memory has room for."""

import asyncio
import collections

import pytest

from lavenderledge.controllers import slotallocator
from lavenderledge.http1 import messages as httpmessages
from lavenderledge.peers import slotmessages as messages
from lavenderledge.platform import documents, headers
from lavenderledge.policy import replicamemory, slotgrants, slotqueue, slots
from tests import platformfleet, simulatedoverload, test_slotmessages

CAPACITY = 10_000
# Each fills a quarter of a replica's memory, and one of its four slots.
SMALL = simulatedoverload.Kind('small', 0, 1.5, 3, 0.1, 0.25, 2_000, 500)
# These fit beside nothing else, and in no replica.
LARGE = simulatedoverload.Kind('large', 0, 1.5, 6, 0.1, 0.25, 9_000, 900)
EXCESSIVE = simulatedoverload.Kind('excessive', 0, 1.5, 6, 0.1, 0.25, 30_000)


@pytest.mark.parametrize(
    ('hint', 'maximum', 'expected'),
    [
        (None, 4_000, 4_000),
        (100, 4_000, 300),
        (2_000, 4_000, 4_000),
        # Unusable hints count as none.
        (0, 4_000, 4_000),
        # Small hints are far off more often.
        (1, 4_000, 64),
        (1, 20, 20),
        (0.5, 0, 0),
        (100, None, 300),
        (None, None, 0),
        # Messages have integers of 64 bits.
        (None, 10**30, 10**9),
        (1e300, None, 10**9),
    ],
)
def test_the_expected_output_follows_the_hint_up_to_the_maximum(
    hint, maximum, expected
):
    assert replicamemory.estimate_output_tokens(hint, maximum) == expected


@pytest.mark.parametrize(
    ('requests', 'held', 'tokens', 'expected'),
    [
        (2, 7_000, 3_000, True),
        (2, 7_000, 3_001, False),
        # The replica rejects what exceeds its memory itself.
        (0, 0, 10_001, True),
        # One that holds such a request takes no other.
        (1, 10_001, 0, False),
        (4, 0, 0, True),
    ],
)
def test_a_request_has_room_if_the_sum_is_within_the_capacity(
    requests, held, tokens, expected
):
    has_room = replicamemory.has_room(
        requests=requests, held_tokens=held, tokens=tokens, capacity=CAPACITY
    )
    assert has_room is expected


def make_replicas(held_tokens):
    replicas = []
    for number, tokens in enumerate(held_tokens):
        info = slots.ReplicaInfo(f'i-{number}', 'model', '', 'a', 4, 0)
        replica = slots.Replica(info, now_s=0)
        replica.held_tokens = tokens
        replica.held = int(tokens > 0)
        replicas.append(replica)
    return replicas


def make_waiting(tokens):
    spec = messages.RequestSpec('r', 'model', 'dealer', 0, tokens, 1, 1, 0)
    return slotqueue.WaitingRequest('e', spec, 1, 1)


def make_pass(replicas, *, capacity=CAPACITY, candidates=None):
    return replicamemory.GrantPass(
        capacity=capacity,
        replica_count=len(replicas),
        list_candidates=lambda waiting: candidates or replicas,
    )


@pytest.mark.parametrize(
    ('held', 'offered', 'fitting'),
    [
        # The roomiest replica is kept from those behind the one that waits.
        ((8_000, 9_000), (5_000, 1_000), ((), (1,))),
        # Those ahead of it are not kept back.
        ((8_000, 9_000), (1_000, 5_000), ((0, 1), ())),
        # One of up to seven replicas is reserved at a time.
        ((8_000, 9_000), (5_000, 5_000, 1_000), ((), (), (1,))),
        # Any request fits into an empty one.
        ((0, 9_000), (11_000,), ((0,),)),
    ],
)
def test_a_replica_is_reserved_for_a_request_that_waits_for_memory(
    held, offered, fitting
):
    replicas = make_replicas(held)
    memory = make_pass(replicas)
    found = [
        memory.list_fitting(replicas, make_waiting(tokens))
        for tokens in offered
    ]
    names = [[replica.info.name for replica in listed] for listed in found]
    assert names == [[f'i-{number}' for number in listed] for listed in fitting]


def test_a_replica_that_may_not_serve_a_request_is_not_reserved_for_it():
    """The room there would come, but not be used."""
    replicas = make_replicas((8_000, 9_000))
    memory = make_pass(replicas, candidates=replicas[1:])
    assert not memory.list_fitting(replicas[1:], make_waiting(5_000))
    assert list(memory.reserved) == ['i-1']


def test_without_a_capacity_every_replica_has_room():
    replicas = make_replicas((10**8,))
    memory = make_pass(replicas, capacity=None)
    assert memory.list_fitting(replicas, make_waiting(10**8)) == replicas


def test_small_requests_pass_those_that_wait_for_memory():
    """Else a few large ones at the head would leave all slots idle."""
    state = slots.SlotState()
    infos = [
        slots.ReplicaInfo(
            f'i-{number}', simulatedoverload.SERVICE, '', 'a', 4, 0
        )
        for number in range(2)
    ]
    state.set_replicas(infos, 0)
    state.memory.capacities = {simulatedoverload.SERVICE: CAPACITY}
    asked = [2_000, 2_000] + [9_000] * 20 + [1_000]
    for number, tokens in enumerate(asked):
        spec = messages.RequestSpec(
            f'r{number}', simulatedoverload.SERVICE, 'd', 0, tokens, 1, 3, 0
        )
        slotgrants.enqueue(state, 'e', spec, 0)
    granted, _ = slotgrants.decide(state, 0)
    assert [grant.request_id for grant in granted] == ['r0', 'r1', 'r22']


def test_each_wait_is_reported_once():
    """A line for each pass would flood the log."""
    state = replicamemory.MemoryState()
    wait = replicamemory.Wait('r', 'model', 'i-0', 5_000, 2_000)
    state.note_pass('model', [wait], {'r'})
    state.note_pass('model', [wait], {'r'})
    assert state.take_new_waits() == [wait]
    # A pass without a free slot offers no request.
    state.note_pass('model', [], {'r'})
    state.note_pass('model', [wait], {'r'})
    assert state.take_new_waits() == []


class MemoryReplay(simulatedoverload.Replay):
    """Checks after each decision that no replica holds too much."""

    def __init__(self, *, seed, capacity=CAPACITY):
        super().__init__(
            seed=seed, replicas=4, slots_count=4, decide=self.decide_and_check
        )
        self.max_held_tokens = 0
        if capacity is not None:
            self.state.memory.capacities = {simulatedoverload.SERVICE: capacity}

    def decide_and_check(self, state, now_s):
        decided = slotgrants.decide(state, now_s)
        held = collections.defaultdict(list)
        for request_id, slot in state.held_slots.items():
            kind = self.attempts[request_id][1]
            held[slot.replica].append(kind.prompt_tokens + kind.output_tokens)
        for tokens in held.values():
            if len(tokens) > 1:
                self.max_held_tokens = max(self.max_held_tokens, sum(tokens))
        return decided


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('rate', [130, 240])
def test_no_replica_holds_more_than_its_capacity(seed, rate):
    """16 slots of 0.1 s serve 160 a second: below that, and far above it."""
    replay = MemoryReplay(seed=seed)
    replay.offer(SMALL, 'desk', rate, 0, 8)
    replay.offer(LARGE, 'desk', 3, 0, 8)
    replay.offer(EXCESSIVE, 'desk', 1, 0, 8)
    replay.run(16)
    assert 0 < replay.max_held_tokens <= CAPACITY


@pytest.mark.parametrize('seed', range(4))
def test_large_requests_are_not_starved_by_small_ones(seed):
    """A customer asks for less than its share, but for empty replicas.

    Another one's small requests are more than the slots, so that one waits for
    each part of a replica's memory that becomes free.
    """
    replay = MemoryReplay(seed=seed)
    replay.offer(SMALL, 'desk', 200, 0, 10)
    replay.offer(LARGE, 'report', 2, 1, 9)
    replay.offer(EXCESSIVE, 'report', 0.5, 1, 9)
    replay.run(18)
    for kind in (LARGE, EXCESSIVE):
        results = replay.count(1, 9, kind=kind)
        assert results.total()
        assert results['in aim'] + results['late'] == results.total()


def test_a_service_without_a_capacity_is_not_limited():
    replay = MemoryReplay(seed=0, capacity=None)
    replay.offer(LARGE, 'desk', 240, 0, 2)
    replay.run(8)
    assert replay.max_held_tokens == 4 * 9_900


def test_a_new_allocator_has_the_account_of_the_former_one():
    """Otherwise it fills replicas that are full already."""
    machine = test_slotmessages.Machine()
    try:
        former, node = (machine.nodes[name] for name in machine.ranked[:2])
        machine.pass_time(0.5)
        for number, tokens in enumerate((3_000, 5_000, 700)):
            spec = messages.RequestSpec(
                f'r{number}', 'model', 'd', 0, tokens, 3, 4, 0
            )._replace(output_tokens=200)
            asked = machine.loop.create_task(node.requester.acquire(spec))
            machine.turn()
            assert asked.result().is_ok()
        before = list_held_tokens(former.allocator)
        assert sum(before.values()) == 3_000 + 5_000 + 700 + 3 * 200
        machine.paused.add(former.name)
        machine.pass_time(slotallocator.REPORT_TIMEOUT_S)
        assert node.requester.allocator != former.name
        successor = machine.nodes[node.requester.allocator].allocator
        assert list_held_tokens(successor) == before
    finally:
        machine.teardown()


def list_held_tokens(allocator):
    replicas = allocator.slot_state.services['model'].replicas
    return {name: replica.held_tokens for name, replica in replicas.items()}


@pytest.mark.parametrize(
    ('services', 'expected'),
    [
        (b'[]', {}),
        (b'[{"name": "a", "runtime": {"capacity": 4}}]', {}),
        (b'[{"name": "a", "runtime": {"kv_capacity": 9}}]', {'a': 9}),
        (b'[{"name": "a", "runtime": {"kv_capacity": 0}}]', {}),
        (b'[{"name": "a", "runtime": null}, {"name": "b"}]', {}),
        # One service that can't be read must not cost the whole version.
        (
            b'[{"name": "a", "runtime": {"kv_capacity": "x"}}, 7,'
            b' {"name": "b", "runtime": {"kv_capacity": 9}}]',
            {'b': 9},
        ),
        (b'{"a": 1}', {}),
        (b'null', {}),
    ],
)
def test_capacities_are_read_from_the_configuration(services, expected):
    content = b'{"version": 3, "services": %s}' % services
    configuration = documents.read_configuration(content).ok
    assert configuration.token_capacities == expected


@pytest.mark.parametrize(
    ('hint', 'expected'),
    [
        (b'120', 120),
        (b'120.5', 120.5),
        (b'-1', None),
        (b'x', None),
        (b'', None),
    ],
)
def test_the_hint_is_read_from_its_header(hint, expected):
    fields = ((b'Host', b'h'), (b'Attempt-Id', b'r'), (b'Length-Hint', hint))
    request = httpmessages.Request(
        b'POST', b'/x', httpmessages.Fields(fields), b'', 0
    )
    assert headers.parse_request(request).hint_tokens == expected


@pytest.mark.parametrize(
    ('count', 'hint', 'max_running'),
    [(b'400,300', b'', 1), (b'400,300', b'30', 2), (b'100,100', b'', 4)],
)
async def test_requests_share_the_memory_that_the_configuration_names(
    count, hint, max_running
):
    """The whole way: header, message, account and grant."""
    service = {'name': 'model', 'runtime': {'kv_capacity': 1_000}}
    async with platformfleet.running(replicas=0, services=[service]) as fleet:
        replica = await fleet.add_replica('i-0', work_s=0.2)
        fields = ((b'Token-Count', count), (b'Length-Hint', hint))
        responses = await asyncio.gather(
            *(fleet.send('/safe/x', fields=fields) for _ in range(4))
        )
        metrics = str(fleet.instances['entry-0']._metrics.render(()))
    assert {response.status for response in responses} == {httpmessages.OK}
    assert replica.max_running == max_running
    assert ('memory_waits_total' in metrics) is (max_running < 4)
