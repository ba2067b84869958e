import contextlib
import datetime

import aiohttp
import pytest

from lavenderledge import clock
from lavenderledge.registry import changes, instancelist, keyvalue, operations
from lavenderledge.standins import server
from lavenderledge.standins import instancelist as listing
from lavenderledge.standins import keyvalue as serving

SHORT = datetime.timedelta(seconds=0.3)
LONG = datetime.timedelta(seconds=20)

GOOD = {
    'pool': 'orders',
    'kind': 'plain',
    'zone': 'addis-b',
    'address': '127.0.0.1',
    'ports': {'http': 8000},
}


def make_service(progress=LONG):
    return serving.KeyValue(
        clock=clock.SystemClock(), progress_interval=progress
    )


@contextlib.asynccontextmanager
async def connect(service, *, timeout=LONG, before=()):
    async with contextlib.AsyncExitStack() as stack:
        app = serving.build_app(service)
        address = await stack.enter_async_context(server.serving(app))
        session = await stack.enter_async_context(keyvalue.open_session())
        yield keyvalue.KeyValue(
            session=session,
            addresses=[*before, f'http://{address}'],
            timeout=timeout,
        )


async def test_a_nested_transaction_creates_only_absent_keys():
    absent = (operations.Compare('b', operations.Target.CREATE, 0),)
    create = operations.Nested(
        absent, (operations.Put('b', b'2'),), (operations.Get('b'),)
    )
    other = operations.Nested((), (operations.Put('c', b'\xff'),))
    async with connect(make_service()) as client:
        first = (await client.transact((), [create, other])).ok
        second = (await client.transact((), [create])).ok
        both = (await client.read_many(['b', 'gone', 'c'])).ok
        listed = (await client.list_prefix('', limit=1)).ok
    assert first.answers[0].succeeded
    assert not second.answers[0].succeeded
    assert second.answers[0].answers[0].entries[0].value == b'2'
    assert both.find('c').value == b'\xff'
    assert both.find('gone') is None
    assert len(listed.entries) == 1


async def test_writes_are_guarded_by_revision_or_value():
    async with connect(make_service()) as client:
        made = await client.replace_if('k', expected=0, value=b'one')
        again = await client.replace_if('k', expected=0, value=b'two')
        swapped = await client.replace_if('k', expected=b'one', value=b'three')
        kept = await client.delete_if_value('k', b'one')
        gone = await client.delete_if_value('k', b'three')
        left = await client.read('k')
    assert [made.ok, again.ok, swapped.ok] == [True, False, True]
    assert [kept.ok, gone.ok] == [False, True]
    assert not left.ok.entries


async def test_a_lapsed_lease_is_told_and_takes_its_keys():
    async with connect(make_service()) as client:
        lease = (await client.grant_lease(LONG)).ok
        await client.transact((), [operations.Put('k', b'v', lease.lease)])
        renewed = await client.keep_alive(lease.lease)
        await client.revoke_lease(lease.lease)
        lapsed = await client.keep_alive(lease.lease)
        left = await client.read('k')
    assert renewed.ok.ttl_s == LONG.total_seconds()
    assert lapsed.ok.ttl_s == 0
    assert not left.ok.entries


@pytest.mark.parametrize('fault', [{'outage': True}, {'outage': 'silent'}])
async def test_a_write_without_an_answer_is_unknown_and_a_read_is_not(fault):
    service = make_service()
    async with connect(service, timeout=SHORT) as client:
        service.controls.update(fault)
        written = await client.replace_if('k', expected=0, value=b'v')
        found = await client.read('k')
    assert isinstance(written.error, operations.OutcomeUnknown)
    assert isinstance(found.error, operations.Unavailable)


async def test_a_lost_answer_is_unknown_and_the_write_is_sent_once():
    service = make_service()
    service.controls.update({'lose_answers': 1})
    async with connect(service) as client:
        await client.read('k')
        written = await client.replace_if('k', expected=0, value=b'v')
        found = await client.read('k')
    assert isinstance(written.error, operations.OutcomeUnknown)
    assert found.ok.find('k').value == b'v'
    assert service.controls.counts['txn'] == 1


async def test_a_failed_connect_has_no_effect_and_goes_to_the_next_address():
    closed = server.bind('127.0.0.1', 0)
    nobody = f'http://{server.format_address(closed)}'
    closed.close()
    service = make_service()
    async with connect(service, before=[nobody]) as client:
        written = await client.replace_if('k', expected=0, value=b'v')
    async with keyvalue.open_session() as session:
        alone = keyvalue.KeyValue(session=session, addresses=[nobody])
        refused = await alone.replace_if('k', expected=0, value=b'v')
    assert written.ok
    assert isinstance(refused.error, operations.Unavailable)


async def test_an_oversize_write_is_rejected():
    async with connect(make_service()) as client:
        written = await client.replace_if('k', expected=0, value=b'v' * 2**21)
    assert isinstance(written.error, operations.Rejected)


async def test_a_watch_tells_changes_and_progress_and_ends_when_silent():
    service = make_service(progress=SHORT / 10)
    seen = []
    async with connect(service) as client:
        await client.replace_if('k', expected=0, value=b'v' * 900_000)
        async for event in client.watch(
            'k', start_revision=1, idle_timeout=SHORT
        ):
            seen.append(event)
            if event.is_ok() and isinstance(event.ok, changes.Progress):
                service.controls.update({'silent_watches': True})
    told = [event.ok for event in seen if event.is_ok()]
    written = [each for each in told if isinstance(each, changes.Changed)]
    assert [len(each.entry.value) for each in written] == [900_000]
    assert isinstance(seen[-1].error, operations.Unavailable)


async def test_the_last_good_list_is_kept():
    service = listing.InstanceList(clock=clock.SystemClock())
    service.put('orders-0', GOOD | {'terminating': True})
    async with aiohttp.ClientSession() as session:
        async with server.serving(listing.build_app(service)) as address:
            client = instancelist.InstanceList(
                session=session, address=f'http://{address}'
            )
            first = await client.poll()
            again = await client.poll()
        failed = await client.poll()
    assert first.ok == again.ok == client.endpoints
    endpoint = first.ok[0]
    assert endpoint.find_port('http') == 8000
    assert endpoint.terminating
    assert endpoint.availability_zone == 'addis-b'
    assert isinstance(failed.error, instancelist.ListUnavailable)


async def test_a_malformed_slice_is_skipped():
    service = listing.InstanceList(clock=clock.SystemClock())
    service.put('good', GOOD)
    service.put('bad', GOOD | {'address': None})
    app = listing.build_app(service)
    async with server.serving(app) as address:
        async with aiohttp.ClientSession() as session:
            client = instancelist.InstanceList(
                session=session, address=f'http://{address}'
            )
            found = await client.poll()
    assert [endpoint.name for endpoint in found.ok] == ['good']
    assert client.skipped == 1
