"""Replicas without recent speed readings get requests that measure them."""

from tests import fleet

TOKENS = 20
TIMEOUT_S = 20
ESTIMATE = 256
ROW = fleet.build_row('notes', tier=1, output_tokens=ESTIMATE)


class Bench:
    """One instance whose engines generate tokens at given gaps."""

    def __init__(self, *, replicas):
        self.fleet = fleet.Fleet(replicas=replicas, rows=(ROW,))
        self.gaps = {info.name: 0.005 for info in self.fleet.replicas}
        self.node = self.fleet.nodes['a']
        self.number = 0
        self.fleet.advance(1)

    def run(self, count):
        """Run requests concurrently to the end; return their decisions."""
        tasks = [self.submit() for _ in range(count)]
        decisions = []
        while tasks:
            self.fleet.advance(fleet.STEP_S)
            for task in [pending for pending in tasks if pending.done()]:
                tasks.remove(task)
                decisions.append(task.result())
                if task.result().is_ok():
                    self.generate(task.result().ok)
        return decisions

    def submit(self):
        self.number += 1
        spec = fleet.build_spec(
            f'request-{self.number}',
            row='notes',
            output_tokens=ESTIMATE,
            remaining_s=TIMEOUT_S,
        )
        return self.fleet.acquire('a', spec, timeout_s=TIMEOUT_S)

    def generate(self, placement):
        """Generate a request's tokens and advance the clock with them."""
        gap_s = self.gaps[placement.replica]
        self.node.admission.note_first_byte(placement.request_id)
        burst = max(1, round(fleet.STEP_S / gap_s))
        for done in range(burst, TOKENS + 1, burst):
            self.fleet.advance(gap_s * burst)
            self.node.admission.note_tokens(placement.request_id, done)
        self.node.admission.release(placement.request_id, TOKENS)


def test_a_pool_is_probed_again_after_it_was_too_slow():
    bench = Bench(replicas=1)
    bench.run(6)
    bench.gaps['engine-0'] = 0.5
    bench.run(20)
    bench.gaps['engine-0'] = 0.005
    bench.fleet.advance(5)
    assert bench.run(1)[0].is_ok()
    bench.fleet.advance(2)
    assert all(decision.is_ok() for decision in bench.run(4))
    bench.fleet.close()


def test_a_newly_listed_replica_gets_requests():
    bench = Bench(replicas=3)
    listed = bench.fleet.replicas
    newcomer = listed[-1]
    bench.fleet.replicas = listed[:-1]
    bench.run(30)
    bench.fleet.advance(2)
    bench.fleet.replicas = listed
    bench.fleet.advance(1)
    placed = [bench.run(1)[0].ok.replica for _ in range(30)]
    assert newcomer.name in placed
    bench.fleet.close()
