"""A key-value service and a clock that a test steps call by call."""

import datetime
import types

import expression
import msgspec

from lavenderledge.registry import gateway, operations, schemas
from lavenderledge.standins import gateway as wire
from lavenderledge.standins import protocol, store

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


@types.coroutine
def pause(operation):
    return (yield operation)


class SteppedClock:
    def __init__(self):
        self.now_s = 0

    def read_monotonic(self):
        return self.now_s

    def read_wall(self):
        return START + datetime.timedelta(seconds=self.now_s)

    async def sleep(self, delay):
        await pause('sleep')
        self.now_s += delay.total_seconds()


class SteppedKeyValue:
    """Each call pauses until the test sets its outcome.

    Outcomes of a write: ``ok``; ``refused``, without effect; ``lost``, done
    but not answered; ``late``, not answered and left for the test to run.
    """

    def __init__(self, clock):
        self.store = store.Store(clock=clock)
        self.late = []

    async def read_many(self, keys):
        if await pause('read') != 'ok':
            return expression.Error(operations.Unavailable('outage'))
        gets = [operations.Get(key) for key in keys]
        answer = self.run(gateway.build_transaction((), gets, ()))
        entries = sum((found.entries for found in answer.answers), ())
        return expression.Ok(operations.Snapshot(answer.revision, entries))

    async def transact(self, compares, then, otherwise=()):
        request = gateway.build_transaction(compares, then, otherwise)
        outcome = await pause('write')
        if outcome == 'refused':
            return expression.Error(operations.Unavailable('refused'))
        if outcome == 'late':
            self.late.append(request)
            return expression.Error(operations.OutcomeUnknown('no answer'))
        answer = self.run(request)
        if outcome == 'lost':
            return expression.Error(
                operations.OutcomeUnknown('connection lost')
            )
        return expression.Ok(answer)

    def run(self, request):
        body = msgspec.json.encode(request)
        decoded = wire.decode(body, protocol.TxnRequest).ok
        answer = wire.encode(self.store.txn(decoded).ok)
        return gateway.read_transaction(
            gateway.decode(answer, schemas.TransactionAnswer).ok
        )

    def read(self, key):
        answer = self.run(
            gateway.build_transaction((), [operations.Get(key)], ())
        )
        return operations.Snapshot(answer.revision, answer.answers[0].entries)


class SteppedCoroutine:
    """Runs a coroutine up to its next service call."""

    def __init__(self, coroutine):
        self._coroutine = coroutine
        self.result = None
        self.pending_call = None
        self.resume(None)

    def resume(self, outcome):
        try:
            self.pending_call = self._coroutine.send(outcome)
        except StopIteration as stopped:
            self.pending_call = None
            self.result = stopped.value
