"""Allocation between instances, through faults, against a simple oracle."""

import hypothesis
from hypothesis import stateful, strategies

from lavenderledge import outcomes
from lavenderledge.peers import messages
from lavenderledge.policy import concurrencylimits
from tests import fleet

NAMES = ('a', 'b', 'c')
REPLICAS = 2
CAPPED = 3
ROWS = (
    *(fleet.build_row(f'tier-{tier}', tier=tier) for tier in (1, 2, 3, 4)),
    fleet.build_row('capped', tier=2, concurrency=CAPPED),
)
# After a fault, reports and silences need this long to be settled.
CALM_AFTER_S = 9
SHED = (outcomes.Reason.OVERLOADED, outcomes.Reason.DISPLACED)


class Call:
    """What the oracle knows of one request."""

    def __init__(self, name, incarnation, ask):
        self.name = name
        self.incarnation = incarnation
        self.ask = ask
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
        self.disturbed_s = self.fleet.clock.now_s
        self.whole = True

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        row=strategies.sampled_from(ROWS),
        count=strategies.integers(1, 12),
        preemptible=strategies.booleans(),
    )
    def ask(self, name, row, count, preemptible):
        for _ in range(count):
            ask = fleet.build_spec(
                f'{len(self.calls)}',
                tier=row.tier,
                row=row.row,
                preemptible=preemptible,
            )
            node = self.fleet.nodes[name]
            call = Call(name, node.incarnation, ask)
            self.calls[ask.request_id] = call
            call.task = self.fleet.acquire(name, ask, timeout_s=1e6)

    @stateful.rule(duration_s=strategies.sampled_from((0.05, 0.3, 1.2, 10)))
    def advance(self, duration_s):
        self.fleet.advance(duration_s)
        self.end_preempted()

    @stateful.rule(most=strategies.integers(1, 30))
    def start(self, most):
        for call in self.list_granted()[:most]:
            self.start_call(call)

    @stateful.rule(most=strategies.integers(1, 10))
    def finish(self, most):
        for call in self.list_started()[:most]:
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
    def press(self, chosen):
        waiting = [
            call
            for call in self.calls.values()
            if not call.ended and not call.task.done()
        ]
        if waiting:
            call = waiting[chosen % len(waiting)]
            self.find_node(call).admission.request_immediate_decision(
                call.ask.request_id
            )

    @stateful.rule(
        fault=strategies.sampled_from(('crash', 'cut off', 'lose', 'heal')),
        name=strategies.sampled_from(NAMES),
    )
    def fail(self, fault, name):
        if fault == 'crash':
            self.crash(name)
        elif fault == 'cut off':
            self.cut_off(name)
        elif fault == 'lose':
            self.fleet.loss_ratio = 0.2
        else:
            self.heal()

    def crash(self, name):
        self.disturb()
        self.fleet.restart(name)
        for call in self.calls.values():
            if call.name == name:
                call.ended = True
                call.task.cancel()
        self.fleet.settle()

    def cut_off(self, name):
        self.disturb()
        self.whole = False
        rest = [other for other in NAMES if other != name]
        self.fleet.partition([[name], rest])

    def heal(self):
        if not self.whole:
            self.disturb()
        self.whole = True
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
        left = [call for call in self.calls.values() if not call.ended]
        assert not left, 'requests wait forever'

    def disturb(self):
        self.disturbed_s = self.fleet.clock.now_s

    def is_calm(self):
        calm_s = self.fleet.clock.now_s - self.disturbed_s
        return self.whole and not self.reorder and calm_s > CALM_AFTER_S

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
        verdict = call.task.result()
        if verdict.is_error():
            call.ended = True
            return None
        return verdict.ok

    def start_call(self, call):
        placement = self.read(call)
        node = self.find_node(call)
        if not node.admission.is_current(placement):
            call.task = self.fleet.acquire(call.name, call.ask, timeout_s=1e6)
            return
        assert self.fleet.clock.now_s < placement.expires_s
        if self.is_calm():
            self.check_room(call, placement.replica)
        node.admission.note_first_byte(call.ask.request_id)
        call.replica = placement.replica
        call.starts += 1
        assert call.starts == 1
        assert node.admission.is_current(placement)

    def check_room(self, call, replica):
        running = self.list_started()
        here = [other for other in running if other.replica == replica]
        assert len(here) < concurrencylimits.INITIAL_LIMIT
        if call.ask.row == 'capped':
            capped = [other for other in running if other.ask.row == 'capped']
            assert len(capped) < CAPPED

    def release(self, call):
        call.ended = True
        self.find_node(call).admission.release(call.ask.request_id, 50)

    def end_preempted(self):
        for node in self.fleet.nodes.values():
            for request_id in node.preempted:
                call = self.calls[request_id]
                assert call.ask.preemptible
                assert call.starts == 1
                if not call.ended:
                    self.release(call)
            node.preempted.clear()

    def note_lost(self, message):
        if isinstance(message, messages.Report):
            self.disturb()

    def check_sent(self, sender, message):
        if isinstance(message, messages.Preempt):
            call = self.calls[message.request_id]
            assert call.ask.preemptible
            assert call.ask.tier > 1
        if not isinstance(message, messages.Refuse) or not self.is_calm():
            return
        call = self.calls[message.request_id]
        lower = [
            other
            for other in self.list_started()
            if other.ask.tier > call.ask.tier and other.ask.preemptible
        ]
        assert message.reason not in SHED or not lower


class ReorderingMachine(Machine):
    """As above; messages also overtake each other and come twice."""

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
