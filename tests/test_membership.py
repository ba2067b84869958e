"""Membership: rendezvous hashing and heartbeat gossip."""

import random

import hypothesis
from hypothesis import stateful, strategies

from lavenderledge.controllers import membership
from lavenderledge.peers import codec, messages
from lavenderledge.policy import gossip, rendezvous

NAMES = tuple(f'entry-{number}' for number in range(7))
STEP_S = 0.5
TIMEOUT_TICKS = 7
EXPECTED_RANKING = ['entry-2', 'entry-1', 'entry-0', 'entry-3']
JOIN_TICKS = 8
SEEDED = hypothesis.settings(derandomize=True, deadline=None)


class ManualClock:
    def __init__(self):
        self.now_s = 1000.0

    def read_monotonic(self):
        return self.now_s


class Node:
    """One membership on a network that loses messages."""

    def __init__(self, network, name, incarnation):
        self.name = name
        self.frozen = False
        self.links = {}
        self.address = f'127.0.0.1:{name[-2:]}{incarnation}'
        self.membership = membership.Membership(
            own=messages.Member(
                name, incarnation, 0, False, 'addis-a', self.address, 0
            ),
            clock=network.clock,
            rng=random.Random(f'{name}{incarnation}'),
            send=lambda peer, message: network.send(self, peer, message),
            on_change=self.set_links,
            read_table_revision=lambda: network.table_revisions.get(name, 3),
        )

    def set_links(self, links):
        self.links = dict(links)


class Network:
    def __init__(self):
        self.clock = ManualClock()
        self.rng = random.Random(7)
        self.nodes = {}
        self.loss = 0.0
        self.isolated = frozenset()
        self.table_revisions = {}
        self.in_flight = []
        self.incarnation = 0

    def start(self, name, *, listed=NAMES):
        self.incarnation += 10
        node = Node(self, name, self.incarnation)
        self.nodes[node.address] = node
        node.membership.apply_instance_list(
            membership.ListedInstance(each, address, terminating=False)
            for each, address in self.list_addresses().items()
            if each in listed
        )
        return node

    def list_addresses(self):
        return {node.name: node.address for node in self.nodes.values()}

    def refresh_list(self):
        listed = [
            membership.ListedInstance(name, address, terminating=False)
            for name, address in self.list_addresses().items()
        ]
        for node in self.list_nodes():
            node.membership.apply_instance_list(listed)

    def stop(self, name):
        for node in self.list_nodes(name):
            self.nodes.pop(node.address)

    def list_nodes(self, *names):
        return [
            node
            for node in self.nodes.values()
            if not names or node.name in names
        ]

    def send(self, sender, peer, message):
        self.in_flight.append((sender, sender.links.get(peer), message))

    def step(self, ticks=1):
        for _ in range(ticks):
            self.clock.now_s += STEP_S
            for node in self.list_nodes():
                if not node.frozen:
                    node.membership.tick()
            self.deliver_all()

    def deliver_all(self):
        in_flight, self.in_flight = self.in_flight, []
        for sender, address, message in in_flight:
            self.deliver(sender, address, message)

    def deliver(self, sender, address, message):
        node = self.nodes.get(address)
        if node is None or node.frozen:
            return
        is_partitioned = (sender.name in self.isolated) != (
            node.name in self.isolated
        )
        if not is_partitioned and self.rng.random() >= self.loss:
            node.membership.receive(message)

    def list_views(self):
        return [node.membership.list_alive() for node in self.list_nodes()]


def start_fleet(count=5):
    network = Network()
    for name in NAMES[:count]:
        network.start(name)
    network.refresh_list()
    network.step(JOIN_TICKS)
    assert set(network.list_views()) == {NAMES[:count]}
    return network


@SEEDED
@hypothesis.given(
    keys=strategies.lists(strategies.text(max_size=8), max_size=20),
    instances=strategies.sets(strategies.text(max_size=8), min_size=2),
)
def test_a_lost_instance_moves_only_its_own_keys(keys, instances):
    gone = min(instances)
    rest = instances - {gone}
    for key in keys:
        ranking = rendezvous.rank(key, instances)
        assert rendezvous.pick(key, instances) == ranking[0]
        ranking.remove(gone)
        assert rendezvous.rank(key, rest) == ranking
        assert rendezvous.is_among_first(key, ranking[0], instances, 2)


def test_the_ranking_is_the_same_in_every_process_and_even():
    assert rendezvous.rank('calculator/0', NAMES[:4]) == EXPECTED_RANKING
    assert rendezvous.pick('calculator/0', ()) is None
    firsts = [rendezvous.pick(str(key), NAMES) for key in range(7000)]
    assert all(800 < firsts.count(name) < 1200 for name in NAMES)


def test_a_new_instance_is_settled_after_heartbeats_of_all_listed():
    network = start_fleet()
    joining = network.start(NAMES[5])
    assert not joining.membership.is_settled()
    assert joining.membership.list_alive() == (NAMES[5],)
    assert joining.membership.count_instances() == 6
    network.step(3)
    assert joining.membership.is_settled()
    assert set(network.list_views()) == {NAMES[:6]}


def test_an_instance_cut_off_shares_with_all_listed_and_rejoins():
    network = start_fleet()
    network.isolated = frozenset(NAMES[:2])
    network.step(TIMEOUT_TICKS)
    assert set(network.list_views()) == {NAMES[:2], NAMES[2:5]}
    assert {n.membership.count_instances() for n in network.list_nodes()} == {5}
    for node in network.list_nodes():
        node.membership.apply_instance_list(())
    network.step(7200)
    network.isolated = frozenset()
    network.step(JOIN_TICKS)
    assert set(network.list_views()) == {NAMES[:5]}


def test_a_paused_instance_is_unsettled_for_a_failure_timeout():
    network = start_fleet()
    paused = network.list_nodes(NAMES[0])[0]
    paused.frozen = True
    network.step(20)
    network.stop(NAMES[4])
    network.start(NAMES[5])
    network.step(20)
    assert not paused.membership.is_settled()
    paused.frozen = False
    paused.membership.tick()
    assert paused.membership.list_alive() == NAMES[:5]
    assert not paused.membership.is_settled()
    network.step(TIMEOUT_TICKS)
    assert paused.membership.is_settled()
    assert set(network.list_views()) == {(*NAMES[:4], NAMES[5])}


def test_a_paused_instance_joins_a_fleet_replaced_meanwhile():
    network = start_fleet(3)
    paused = network.list_nodes(NAMES[0])[0]
    paused.frozen = True
    for name in NAMES[1:3]:
        network.stop(name)
        network.start(name, listed=NAMES[1:3])
    paused.frozen = False
    network.step()
    paused.membership.apply_instance_list(
        membership.ListedInstance(name, address, terminating=False)
        for name, address in network.list_addresses().items()
    )
    network.step(JOIN_TICKS + TIMEOUT_TICKS)
    assert set(network.list_views()) == {NAMES[:3]}


def test_a_slow_event_loop_does_not_time_out_its_peers():
    network = start_fleet()
    network.clock.now_s += 3.4
    node = network.list_nodes(NAMES[0])[0]
    node.membership.tick()
    assert node.membership.list_alive() == NAMES[:5]


def test_the_older_of_two_processes_with_a_name_is_superseded():
    network = start_fleet()
    older = network.list_nodes(NAMES[0])[0]
    newer = network.start(NAMES[0])
    network.step(JOIN_TICKS)
    assert older.membership.is_superseded()
    assert not older.membership.is_settled()
    assert newer.membership.is_settled()
    peer = network.list_nodes(NAMES[1])[0]
    assert peer.links[NAMES[0]] == newer.address


def test_a_restart_after_the_wall_clock_went_back_is_seen():
    network = start_fleet()
    network.stop(NAMES[4])
    network.incarnation = 0
    network.start(NAMES[4])
    network.step(JOIN_TICKS + TIMEOUT_TICKS)
    assert set(network.list_views()) == {NAMES[:5]}


@SEEDED
@hypothesis.given(
    versions=strategies.lists(
        strategies.tuples(
            strategies.integers(1, 3),
            strategies.integers(0, 3),
            strategies.booleans(),
        ),
        min_size=1,
    )
)
def test_merging_keeps_the_newest_state_in_any_order(versions):
    members = [
        messages.Member('a', incarnation, heartbeat, leaving, 'z', 'x:1', 0)
        for incarnation, heartbeat, leaving in versions
    ]
    state = None
    for now_s, member in enumerate(members):
        state = gossip.merge_member(state, member, now_s)
    newest = max((each.incarnation, each.heartbeat) for each in members)
    kept = state.member
    assert (kept.incarnation, kept.heartbeat) == newest
    assert kept.leaving == any(
        each.leaving for each in members if each.incarnation == newest[0]
    )


class Fleet(stateful.RuleBasedStateMachine):
    """Starts, stops, pauses and isolates instances, then heals."""

    def __init__(self):
        super().__init__()
        self.network = Network()
        self.leaving = set()
        self.seen = {}

    @stateful.initialize()
    def start_first(self):
        for name in NAMES[:3]:
            self.start(name)

    @stateful.rule(
        name=strategies.sampled_from(NAMES), sleep=strategies.booleans()
    )
    def start(self, name, sleep=False):
        """Start a newer process; the older is killed or paused."""
        older = self.network.list_nodes(name)
        self.network.stop(name)
        newer = self.network.start(name)
        for node in older[-1:] if sleep else ():
            node.frozen = True
            self.network.nodes = {
                node.address: node,
                **self.network.nodes,
                newer.address: newer,
            }

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def kill(self, name):
        self.network.stop(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def leave(self, name):
        for node in self.network.list_nodes(name):
            if not node.frozen:
                node.membership.mark_leaving()
                self.leaving.add(node)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def toggle_freeze(self, name):
        for node in self.network.list_nodes(name):
            node.frozen = not node.frozen

    @stateful.rule(
        loss=strategies.sampled_from((0.0, 0.3, 0.9)),
        isolated=strategies.frozensets(strategies.sampled_from(NAMES)),
    )
    def disturb(self, loss, isolated):
        self.network.loss = loss
        self.network.isolated = isolated

    @stateful.rule(ticks=strategies.sampled_from((1, 3, 10, 130)))
    def pass_time(self, ticks):
        self.network.step(ticks)

    @stateful.rule()
    def refresh_list(self):
        self.network.refresh_list()

    @stateful.rule()
    def heal(self):
        """Check that every view soon holds exactly the live instances."""
        self.network.loss = 0.0
        self.network.isolated = frozenset()
        for node in self.network.list_nodes():
            node.frozen = False
        for name in NAMES[:2]:
            if not self.network.list_nodes(name):
                self.start(name)
        self.network.refresh_list()
        self.network.step(JOIN_TICKS + 2 * TIMEOUT_TICKS)
        current = [
            node
            for node in self.network.list_nodes()
            if not node.membership.is_superseded()
        ]
        names = [node.name for node in current]
        assert sorted(names) == sorted(set(self.network.list_addresses()))
        expected = {n.name for n in current if n not in self.leaving}
        for node in current:
            assert node.membership.list_alive() == tuple(sorted(expected))
            assert node.membership.is_settled()

    @stateful.invariant()
    def no_incarnation_goes_back(self):
        for node in self.network.list_nodes():
            own, *others = node.membership.list_members()
            assert node.name in node.membership.list_alive() or own.leaving
            for member in others:
                key = (node, member.instance)
                assert member.incarnation >= self.seen.get(key, 0)
                self.seen[key] = member.incarnation

    def teardown(self):
        self.heal()


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
)


def test_a_larger_fleet_detects_joins_leaves_and_losses():
    names = tuple(f'large-{number:02}' for number in range(30))
    network = Network()
    for name in names:
        network.start(name, listed=names)
    network.refresh_list()
    network.step(60)
    assert set(network.list_views()) == {names}
    network.stop(names[7])
    network.list_nodes(names[8])[0].membership.mark_leaving()
    network.start('large-30', listed=names)
    network.step(60)
    expected = (*names[:7], *names[9:], 'large-30')
    assert set(network.list_views()) == {expected}


def test_neighbours_are_distributed_evenly():
    names = {f'large-{number:02}' for number in range(40)}
    picked = [
        each
        for name in names
        for each in gossip.pick_neighbours(name, names, 8)
    ]
    assert all(4 <= picked.count(name) <= 8 for name in names)
    assert gossip.pick_neighbours('a', {'a', 'b', 'c'}, 8) == ('b', 'c')


def test_a_table_revision_is_gossiped_at_once():
    network = start_fleet()
    node = network.list_nodes(NAMES[0])[0]
    network.table_revisions[NAMES[0]] = 9
    node.membership.notify_neighbours()
    network.deliver_all()
    for peer in network.list_nodes(*NAMES[1:5]):
        assert peer.membership.get_member(NAMES[0]).table_revision == 9


def test_bytes_sent_per_second_do_not_grow_with_the_fleet():
    for members in range(10, 1000):
        plan = gossip.plan_gossip(members)
        member = messages.Member(
            f'lavenderledge-{members}',
            1796356800000,
            172800,
            False,
            'addis-a',
            '10.111.112.113:7400',
            12345,
        )
        digest = messages.HeartbeatDigest(2**32 - 1, 172800)
        heartbeat = messages.Heartbeat(
            member.instance,
            (member,) * (1 + plan.sample),
            (digest,) * members,
        )
        sent = plan.fanout * len(codec.encode(heartbeat).ok)
        assert sent / plan.interval.total_seconds() <= 5500
        assert plan.fanout <= plan.neighbours < members
        assert plan.forget_after > plan.failure_timeout > 6 * plan.interval
