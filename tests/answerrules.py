"""The rules on lost requests, checked for one request after a play.

Bounds are the rules' own. What is checked: a request that an instance read
whole ends in the replica's whole answer or in a whole refusal; a refusal says
the truth; nothing runs more often than it may. A request that used seven
tenths of its time may be cut, and so may one whose replica broke off, or that
ran late in a stop.
"""

import typing

from tests import operatorversions

LOSS_SLACK_S = 0.2
USED_RATIO = 0.7
# An instance stops well before its callers' deadlines.
GIVEN_UP_MARGIN_S = 0.3
# Of a stop, requests that were sent later than this are refused.
STOP_SENT_S = 3.0
BAD_GATEWAY = 502
NOT_RUN = frozenset((408, 421, 429, 503))


class Run(typing.NamedTuple):
    """A request that arrived at a replica.

    ``breaks`` means that the replica breaks off; without a cancellation, a
    sound one has its first output and its end at the times that it planned.
    """

    replica: str
    service: str
    runs: bool
    breaks: bool
    begun_s: float
    output_s: float
    end_s: float
    cancelled_s: float | None
    body: bytes


class Stop(typing.NamedTuple):
    """The graceful stop of an instance."""

    instance: str
    at_s: float
    grace_s: float

    @property
    def late_s(self):
        """Return the beginning of the last sixth of the grace period."""
        return self.at_s + self.grace_s * 5 / 6


class Case(typing.NamedTuple):
    """A request with all that is known of it.

    ``versions`` were perhaps in force; ``stalled_s`` is for how long this
    process did not run meanwhile, ``is_reset`` whether connections to replicas
    were reset.
    """

    outcome: typing.Any
    runs: list
    versions: list
    stop: Stop | None
    stalled_s: float
    is_reset: bool = False

    @property
    def sent(self):
        return self.outcome.sent

    @property
    def matches(self):
        return [
            operatorversions.match(version, self.sent.path, self.sent.key)
            for version in self.versions
        ]

    @property
    def allowing(self):
        return [found.route for found in self.matches if not found.status]

    @property
    def elapsed_s(self):
        return self.outcome.ended_s - self.sent.sent_s

    @property
    def time_s(self):
        """Return how long the instance may take for the request."""
        timeouts = [found['timeout_ms'] / 1000 for found in self.allowing]
        return min([self.sent.deadline_s, *timeouts])

    @property
    def is_excused(self):
        """Return whether the rules allow that it has no answer."""
        if any(run.breaks for run in self.runs):
            return True
        stop = self.stop
        return (
            stop is not None
            and self.outcome.ended_s > stop.late_s
            and self.sent.sent_s <= stop.at_s + STOP_SENT_S
        )


def check(case):
    """Return the names of the rules that a request's end breaks."""
    return [
        *check_ending(case),
        *check_status(case),
        *check_answer(case),
        *check_runs(case),
    ]


def check_ending(case):
    outcome = case.outcome
    status = outcome.received.status
    if case.is_excused or case.sent.leaves:
        return
    is_whole = outcome.ending == 'complete' and status < 500
    if is_whole or status in NOT_RUN and outcome.ending == 'complete':
        return
    if case.elapsed_s < case.time_s * USED_RATIO:
        has_run = any(run.runs for run in case.runs)
        if case.is_reset and status == BAD_GATEWAY and not has_run:
            # It was sent on a connection that was reset on the way: whether it
            # has run can't be known.
            return
        if case.runs:
            yield 'FAILED' if outcome.ending == 'complete' else 'LOST'
        elif (
            outcome.ending == 'complete'
            or case.elapsed_s - case.stalled_s > LOSS_SLACK_S
        ):
            yield 'LOST unsent'
    elif find_given_up(case):
        yield 'GIVEN UP'
    elif outcome.ending == 'none':
        yield 'HELD'


def find_given_up(case):
    """Return a run that was ended though it had answered in time.

    An instance may end it once another run has some output.
    """
    due_s = case.sent.sent_s + case.time_s - GIVEN_UP_MARGIN_S - case.stalled_s
    for run in case.runs:
        was_replaced = any(
            other.output_s <= (run.cancelled_s or 0)
            for other in case.runs
            if other is not run
        )
        if run.cancelled_s and run.end_s < due_s and not was_replaced:
            return run
    return None


def check_status(case):
    status = case.outcome.received.status
    if status in NOT_RUN and any(run.runs for run in case.runs):
        yield 'REFUSED'
    if status in {401, 404} and case.outcome.ending == 'complete':
        if status not in {found.status for found in case.matches}:
            yield 'DENIED'
    elif status // 100 in {3, 4} and status not in NOT_RUN:
        yield 'DENIED'


def check_answer(case):
    received = case.outcome.received
    if received.rest:
        yield 'MIXED bytes after the answer'
    if received.status // 100 != 2:
        return
    bodies = [run.body for run in case.runs if run.runs]
    seal = received.fields.get(b'response-seal', b'')
    sealing = [run for run in case.runs if run.replica.encode() in seal]
    if not sealing:
        yield 'MIXED seal'
    is_stream = case.sent.path.startswith('/stream')
    if not is_stream:
        bodies = [run.body for run in sealing if run.runs]
    if case.outcome.ending == 'complete':
        if received.body not in bodies:
            yield 'ORDER' if is_stream else 'MIXED body'
    elif not any(body.startswith(received.body) for body in bodies):
        yield 'ORDER' if is_stream else 'MIXED body'


def check_runs(case):
    count = sum(run.runs for run in case.runs)
    routes = case.allowing
    if not routes:
        if case.runs:
            yield 'ROUTE'
        return
    if count > 1 and not any(map(operatorversions.is_repeatable, routes)):
        yield 'TWICE'
    if count > max(route['max_attempts'] for route in routes):
        yield 'BUDGET'
    services = set().union(*map(operatorversions.list_services, routes))
    if any(run.service not in services for run in case.runs):
        yield 'ROUTE'
