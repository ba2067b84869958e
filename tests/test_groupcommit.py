import asyncio
import contextlib
import datetime

from lavenderledge import clock
from lavenderledge.registry import groupcommit, keyvalue, operations
from lavenderledge.standins import keyvalue as keyvaluestandin
from lavenderledge.standins import server


@contextlib.asynccontextmanager
async def connect():
    async with contextlib.AsyncExitStack() as stack:
        service = keyvaluestandin.KeyValue(
            clock=clock.SystemClock(),
            progress_interval=datetime.timedelta(seconds=20),
        )
        app = keyvaluestandin.build_app(service)
        address = await stack.enter_async_context(server.serving(app))
        session = await stack.enter_async_context(keyvalue.open_session())
        yield keyvalue.KeyValue(
            session=session, addresses=[f'http://{address}']
        )


def create(key, value):
    absent = operations.Compare(key, operations.Target.CREATE, 0)
    return operations.Transaction(
        (absent,), (operations.Put(key, value),), (operations.Get(key),)
    )


async def test_creates_share_calls_and_one_for_each_key_succeeds():
    async with connect() as store:
        commits = groupcommit.GroupCommit(store=store)
        outcomes = await asyncio.gather(
            *(
                commits.commit(create(f'key-{number % 50}', b'%d' % number))
                for number in range(200)
            )
        )
        calls = store.calls
    succeeded_outcomes = [
        outcome for outcome in outcomes if outcome.ok.succeeded
    ]
    assert len(succeeded_outcomes) == 50
    assert calls < 20


async def test_a_rejected_transaction_does_not_fail_the_others():
    async with connect() as store:
        commits = groupcommit.GroupCommit(store=store)
        await asyncio.gather(
            *(
                commits.commit(create(f'early-{number}', b''))
                for number in range(4)
            )
        )
        good = operations.Put('good', b'1')
        bad = operations.Put('', b'1')
        outcomes = await asyncio.gather(
            *(
                commits.commit(
                    operations.Transaction((), (operations.Put(key, b'x'),))
                )
                for key in ('a', 'b', 'c', 'd')
            ),
            commits.commit(operations.Transaction((), (good,))),
            commits.commit(operations.Transaction((), (bad,))),
        )
    assert outcomes[-2].ok.succeeded
    assert isinstance(outcomes[-1].error, operations.Rejected)
