import asyncio
import contextlib
import datetime

from lavenderledge import clock
from lavenderledge.registry import groupcommit, keyvalue, operations
from lavenderledge.standins import keyvalue as serving
from lavenderledge.standins import server


@contextlib.asynccontextmanager
async def connect():
    async with contextlib.AsyncExitStack() as stack:
        service = serving.KeyValue(
            clock=clock.SystemClock(),
            progress_interval=datetime.timedelta(seconds=20),
        )
        app = serving.build_app(service)
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


async def test_many_creates_share_calls_and_one_wins_for_each_key():
    async with connect() as store:
        commits = groupcommit.GroupCommit(store=store)
        told = await asyncio.gather(
            *(
                commits.commit(create(f'key-{number % 50}', b'%d' % number))
                for number in range(200)
            )
        )
        calls = store.calls
    won = [each for each in told if each.ok.succeeded]
    assert len(won) == 50
    assert calls < 20


async def test_one_that_is_rejected_does_not_take_the_others_with_it():
    async with connect() as store:
        commits = groupcommit.GroupCommit(store=store)
        await asyncio.gather(
            *(commits.commit(create(f'early-{n}', b'')) for n in range(4))
        )
        good = operations.Put('good', b'1')
        bad = operations.Put('', b'1')
        told = await asyncio.gather(
            *(
                commits.commit(
                    operations.Transaction((), (operations.Put(key, b'x'),))
                )
                for key in ('a', 'b', 'c', 'd')
            ),
            commits.commit(operations.Transaction((), (good,))),
            commits.commit(operations.Transaction((), (bad,))),
        )
    assert told[-2].ok.succeeded
    assert isinstance(told[-1].error, operations.Rejected)
