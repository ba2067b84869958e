"""Allocation between instances under faults, checked by a simple oracle."""

import hypothesis
from hypothesis import stateful, strategies

from lavenderledge import outcomes
from lavenderledge.peers import messages
from lavenderledge.policy import concurrencylimits
from tests import fleet

NAMES = ('a', 'b', 'c')
REPLICAS = 2
CAPPED_CONCURRENCY = 3
ROWS = (
    *(fleet.build_row(f'tier-{tier}', tier=tier) for tier in (1, 2, 3, 4)),
    fleet.build_row('capped', tier=2, concurrency=CAPPED_CONCURRENCY),
)
# After a fault, reports and sender time-outs take at most this long.
STABLE_AFTER_S = 9
SHED_REASONS = (outcomes.Reason.OVERLOADED, outcomes.Reason.DISPLACED)


class Call:
    """The oracle's state of one request."""

    def __init__(self, name, incarnation, spec):
        self.name = name
        self.incarnation = incarnation
        self.spec = spec
        self.task = None
        self.replica = None
        self.ended = False
        self.starts = 0


class Machine(stateful.RuleBasedStateMachine):
    """Faults in any order; messages between two instances keep order."""

    reorder = False

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.fleet = fleet.Fleet(
            names=NAMES, replicas=REPLICAS, rows=ROWS, seed=seed
        )
        self.fleet.reorder = self.reorder
        self.fleet.duplicate_ratio = 0.1 if self.reorder else 0
        self.fleet.on_sent = self.check_sent
        self.fleet.on_lost = self.note_lost
        self.calls = {}
        self.last_fault_s = self.fleet.clock.now_s
        self.is_connected = True

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        row=strategies.sampled_from(ROWS),
        count=strategies.integers(1, 12),
        preemptible=strategies.booleans(),
    )
    def submit(self, name, row, count, preemptible):
        for _ in range(count):
            spec = fleet.build_spec(
                f'{len(self.calls)}',
                tier=row.tier,
                row=row.row,
                preemptible=preemptible,
            )
            node = self.fleet.nodes[name]
            call = Call(name, node.incarnation, spec)
            self.calls[spec.request_id] = call
            call.task = self.fleet.acquire(name, spec, timeout_s=1e6)

    @stateful.rule(duration_s=strategies.sampled_from((0.05, 0.3, 1.2, 10)))
    def advance(self, duration_s):
        self.fleet.advance(duration_s)
        self.end_preempted()

    @stateful.rule(limit=strategies.integers(1, 30))
    def start(self, limit):
        for call in self.list_granted()[:limit]:
            self.start_call(call)

    @stateful.rule(limit=strategies.integers(1, 10))
    def finish(self, limit):
        for call in self.list_started()[:limit]:
            self.release(call)

    @stateful.rule(chosen=strategies.integers(0, 1000))
    def abandon(self, chosen):
        live = [call for call in self.calls.values() if not call.ended]
        if live:
            call = live[chosen % len(live)]
            call.task.cancel()
            self.fleet.settle()
            self.release(call)

    @stateful.rule(chosen=strategies.integers(0, 1000))
    def request_immediate(self, chosen):
        waiting = [
            call
            for call in self.calls.values()
            if not call.ended and not call.task.done()
        ]
        if waiting:
            call = waiting[chosen % len(waiting)]
            self.find_node(call).admission.request_immediate_decision(
                call.spec.request_id
            )

    @stateful.rule(
        fault=strategies.sampled_from(('crash', 'isolate', 'lose', 'heal')),
        name=strategies.sampled_from(NAMES),
    )
    def fail(self, fault, name):
        if fault == 'crash':
            self.crash(name)
        elif fault == 'isolate':
            self.isolate(name)
        elif fault == 'lose':
            self.fleet.loss_ratio = 0.2
        else:
            self.heal()

    def crash(self, name):
        self.note_fault()
        self.fleet.restart(name)
        for call in self.calls.values():
            if call.name == name:
                call.ended = True
                call.task.cancel()
        self.fleet.settle()

    def isolate(self, name):
        self.note_fault()
        self.is_connected = False
        others = [other for other in NAMES if other != name]
        self.fleet.partition([[name], others])

    def heal(self):
        if not self.is_connected:
            self.note_fault()
        self.is_connected = True
        self.fleet.loss_ratio = 0
        self.fleet.partition([NAMES])

    def teardown(self):
        if not hasattr(self, 'fleet'):
            return
        try:
            self.finish_all()
        finally:
            self.fleet.close()

    def finish_all(self):
        self.heal()
        for _ in range(150):
            if all(call.ended for call in self.calls.values()):
                break
            self.advance(0.5)
            for call in self.list_started():
                self.release(call)
            for granted in self.list_granted():
                self.start_call(granted)
        unfinished = [call for call in self.calls.values() if not call.ended]
        assert not unfinished, 'requests wait forever'

    def note_fault(self):
        self.last_fault_s = self.fleet.clock.now_s

    def is_stable(self):
        since_fault_s = self.fleet.clock.now_s - self.last_fault_s
        return (
            self.is_connected
            and not self.reorder
            and since_fault_s > STABLE_AFTER_S
        )

    def find_node(self, call):
        return self.fleet.nodes[call.name]

    def list_granted(self):
        return [
            call
            for call in self.calls.values()
            if not call.ended and call.replica is None and self.read(call)
        ]

    def list_started(self):
        return [
            call
            for call in self.calls.values()
            if not call.ended and call.replica is not None
        ]

    def read(self, call):
        if not call.task.done():
            return None
        decision = call.task.result()
        if decision.is_error():
            call.ended = True
            return None
        return decision.ok

    def start_call(self, call):
        placement = self.read(call)
        node = self.find_node(call)
        if not node.admission.is_current(placement):
            call.task = self.fleet.acquire(call.name, call.spec, timeout_s=1e6)
            return
        assert self.fleet.clock.now_s < placement.expires_s
        if self.is_stable():
            self.check_limits(call, placement.replica)
        node.admission.note_first_byte(call.spec.request_id)
        call.replica = placement.replica
        call.starts += 1
        assert call.starts == 1
        assert node.admission.is_current(placement)

    def check_limits(self, call, replica):
        running = self.list_started()
        here = [other for other in running if other.replica == replica]
        assert len(here) < concurrencylimits.INITIAL_LIMIT
        if call.spec.row == 'capped':
            capped = [other for other in running if other.spec.row == 'capped']
            assert len(capped) < CAPPED_CONCURRENCY

    def release(self, call):
        call.ended = True
        self.find_node(call).admission.release(call.spec.request_id, 50)

    def end_preempted(self):
        for node in self.fleet.nodes.values():
            for request_id in node.preempted:
                call = self.calls[request_id]
                assert call.spec.preemptible
                assert call.starts == 1
                if not call.ended:
                    self.release(call)
            node.preempted.clear()

    def note_lost(self, message):
        if isinstance(message, messages.Report):
            self.note_fault()

    def check_sent(self, sender, message):
        if isinstance(message, messages.Preempt):
            call = self.calls[message.request_id]
            assert call.spec.preemptible
            assert call.spec.tier > 1
        if not isinstance(message, messages.Refuse) or not self.is_stable():
            return
        call = self.calls[message.request_id]
        lower_tier = [
            other
            for other in self.list_started()
            if other.spec.tier > call.spec.tier and other.spec.preemptible
        ]
        assert message.reason not in SHED_REASONS or not lower_tier


class ReorderingMachine(Machine):
    """The same, but messages may also be reordered and duplicated."""

    reorder = True


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=50,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFaults = Machine.TestCase
TestFaults.settings = SETTINGS
TestReordering = ReorderingMachine.TestCase
TestReordering.settings = SETTINGS
