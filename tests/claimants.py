"""Several instances that claim keys in one faulty key-value service."""

import asyncio
import datetime

import expression

from lavenderledge import outcomes
from lavenderledge.controllers import claims
from lavenderledge.filters import chain, claim, exchange
from lavenderledge.registry import groupcommit, operations
from lavenderledge.policy import table

ROW = table.Row(row='orders', customer='*', pool='orders', kind='*', tier=1)
DEADLINE_S = 20
CLAIM_TIMEOUT_S = 2


class SteppedClock:
    """A clock whose sleepers wake when the test moves it."""

    def __init__(self):
        self.now_s = 1000.0
        self._sleepers = []

    def read_monotonic(self):
        return self.now_s

    def read_wall(self):
        return datetime.datetime.fromtimestamp(self.now_s, tz=datetime.UTC)

    async def sleep(self, delay):
        future = asyncio.get_running_loop().create_future()
        self._sleepers.append((self.now_s + delay.total_seconds(), future))
        await future

    def advance(self, seconds):
        self.now_s += seconds
        due = [item for item in self._sleepers if item[0] <= self.now_s]
        self._sleepers = [
            item for item in self._sleepers if item[0] > self.now_s
        ]
        for _, future in due:
            if not future.done():
                future.set_result(None)


class FaultyStore:
    """The key-value service: writes may be lost, late or unanswered."""

    def __init__(self):
        self.stored = {}
        self.faults = []
        self.late = []

    def connect(self, is_alive):
        """Return one instance's connection to the service."""
        return _Connection(store=self, is_alive=is_alive)

    def apply(self, transactions):
        """Apply nested transactions and answer each."""
        return tuple(self._apply_one(each) for each in transactions)

    def _apply_one(self, transaction):
        held = all(self._holds(each) for each in transaction.compares)
        chosen = transaction.then if held else transaction.otherwise
        answers = tuple(self._do(each) for each in chosen)
        return operations.TransactAnswer(0, held, answers)

    def _holds(self, compare):
        if compare.target is operations.Target.CREATE:
            return compare.key not in self.stored
        return self.stored.get(compare.key) == compare.expected

    def _do(self, operation):
        match operation:
            case operations.Put(key, value):
                self.stored[key] = value
                return operations.PutAnswer()
            case operations.Delete(key):
                self.stored.pop(key, None)
                return operations.DeleteAnswer(1)
            case operations.Get(key):
                entry = operations.Entry(key, self.stored[key], 1, 1)
                return operations.GetAnswer((entry,))


class _Connection:
    def __init__(self, *, store, is_alive):
        self._store = store
        self._is_alive = is_alive

    async def transact(self, compares, then, otherwise=()):
        """Answer a group commit, or fail with the next fault."""
        await asyncio.sleep(0)
        if not self._is_alive():
            await asyncio.get_running_loop().create_future()
        fault = self._store.faults.pop(0) if self._store.faults else 'none'
        if fault == 'refused':
            return expression.Error(operations.Unavailable('refused'))
        if fault == 'late':
            self._store.late.append(then)
            return expression.Error(operations.OutcomeUnknown('late'))
        answers = self._store.apply(then)
        if fault == 'lost':
            return expression.Error(operations.OutcomeUnknown('lost'))
        return expression.Ok(operations.TransactAnswer(1, True, answers))


class Attempt:
    """One caller's request at one instance, and its outcome."""

    def __init__(self, *, number, key, instance):
        self.number = number
        self.key = key
        self.instance = instance
        self.gate = asyncio.get_running_loop().create_future()
        self.outcome = None


class Instance:
    """One instance's claims and the filter chain around its dispatch."""

    def __init__(self, *, name, store, clock, service):
        self.alive = True
        self._service = service
        self._clock = clock
        self._tasks = set()
        records = claims.Claims(
            instance=name,
            commits=groupcommit.GroupCommit(
                store=store.connect(lambda: self.alive)
            ),
            clock=clock,
            count_retry=lambda reason: None,
            run_detached=self.spawn,
        )
        self._filter = claim.make_claim(
            records=records, clock=clock, timeout_s=CLAIM_TIMEOUT_S
        )

    def spawn(self, work):
        """Run a task of this instance; after a kill its calls never return."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def serve(self, attempt):
        """Begin to serve one attempt."""
        self.spawn(self._serve(attempt))

    async def _serve(self, attempt):
        call = exchange.Call(
            'POST', '/services/orders/x', '', {}, b'{}', self._clock.now_s
        )
        current = exchange.Exchange(request_id=str(attempt.number), call=call)
        current.identity = exchange.Identity('hub', 'any', attempt.key, None)
        current.row = ROW
        current.deadline_s = self._clock.now_s + DEADLINE_S
        handler = chain.build_chain(
            (self._filter,), lambda each: self._dispatch(each, attempt)
        )
        outcome = await handler(current)
        if outcome.is_ok() and outcome.ok.stream is not None:
            outcome = await _read_stream(outcome.ok)
        if self.alive:
            attempt.outcome = outcome

    async def _dispatch(self, current, attempt):
        ending = await attempt.gate
        if not self.alive or ending == 'frozen':
            await asyncio.get_running_loop().create_future()
        if ending == 'refused':
            return current.refuse(outcomes.Reason.OVERLOADED, 'no room')
        current.dispatch.start()
        body = self._service(attempt)
        if ending == 'unanswered':
            return current.refuse(outcomes.Reason.UPSTREAM_LOST, 'no answer')
        if ending == 'failed':
            return current.refuse(
                outcomes.Reason.UPSTREAM_FAILED, 'an error', failed=True
            )
        if ending == 'streamed':
            return expression.Ok(
                exchange.Answer(200, (), stream=_make_stream(body))
            )
        return expression.Ok(exchange.Answer(200, (), body))


def _make_stream(body):
    async def stream(sink):
        await sink(body)
        return expression.Ok(None)

    return stream


async def _read_stream(answer):
    """Return the outcome that a caller has when a stream has ended."""
    received = bytearray()

    async def sink(chunk):
        received.extend(chunk)

    ended = await answer.stream(sink)
    return ended.map(
        lambda _: answer._replace(body=bytes(received), stream=None)
    )
