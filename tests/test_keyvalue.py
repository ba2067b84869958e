import contextlib
import datetime

import aiohttp
import pytest

from lavenderledge import clock
from lavenderledge.registry import (
    instancelist,
    keyvalue,
    operations,
    watchevents,
)
from lavenderledge.standins import server
from lavenderledge.standins import instancelist as liststandin
from lavenderledge.standins import keyvalue as keyvaluestandin

SHORT = datetime.timedelta(seconds=0.3)
LONG = datetime.timedelta(seconds=20)

VALID_ENTRY = {
    'pool': 'orders',
    'kind': 'plain',
    'zone': 'addis-b',
    'address': '127.0.0.1',
    'ports': {'http': 8000},
}


def make_service(progress=LONG):
    return keyvaluestandin.KeyValue(
        clock=clock.SystemClock(), progress_interval=progress
    )


@contextlib.asynccontextmanager
async def connect(service, *, timeout=LONG, first_addresses=()):
    async with contextlib.AsyncExitStack() as stack:
        app = keyvaluestandin.build_app(service)
        address = await stack.enter_async_context(server.serving(app))
        session = await stack.enter_async_context(keyvalue.open_session())
        yield keyvalue.KeyValue(
            session=session,
            addresses=[*first_addresses, f'http://{address}'],
            timeout=timeout,
        )


async def test_a_nested_transaction_creates_only_absent_keys():
    absent = (operations.Compare('b', operations.Target.CREATE, 0),)
    create = operations.Transaction(
        absent, (operations.Put('b', b'2'),), (operations.Get('b'),)
    )
    other = operations.Transaction((), (operations.Put('c', b'\xff'),))
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


async def test_writes_are_conditional_on_revision_or_value():
    async with connect(make_service()) as client:
        created = await client.replace_if('k', expected=0, value=b'one')
        repeated = await client.replace_if('k', expected=0, value=b'two')
        replaced = await client.replace_if('k', expected=b'one', value=b'three')
        kept = await client.delete_if_value('k', b'one')
        gone = await client.delete_if_value('k', b'three')
        left = await client.read('k')
    assert [created.ok, repeated.ok, replaced.ok] == [True, False, True]
    assert [kept.ok, gone.ok] == [False, True]
    assert not left.ok.entries


async def test_an_expired_lease_is_reported_and_its_keys_are_deleted():
    async with connect(make_service()) as client:
        lease = (await client.grant_lease(LONG)).ok
        await client.transact((), [operations.Put('k', b'v', lease.lease)])
        renewed = await client.keep_alive(lease.lease)
        await client.revoke_lease(lease.lease)
        expired = await client.keep_alive(lease.lease)
        left = await client.read('k')
    assert renewed.ok.ttl_s == LONG.total_seconds()
    assert expired.ok.ttl_s == 0
    assert not left.ok.entries


@pytest.mark.parametrize('fault', [{'outage': True}, {'outage': 'silent'}])
async def test_an_unanswered_write_is_unknown_and_a_read_unavailable(fault):
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


async def test_a_failed_connect_has_no_effect_and_tries_the_next_address():
    closed = server.bind('127.0.0.1', 0)
    closed_address = f'http://{server.format_address(closed)}'
    closed.close()
    service = make_service()
    async with connect(service, first_addresses=[closed_address]) as client:
        written = await client.replace_if('k', expected=0, value=b'v')
    async with keyvalue.open_session() as session:
        unreachable = keyvalue.KeyValue(
            session=session, addresses=[closed_address]
        )
        refused = await unreachable.replace_if('k', expected=0, value=b'v')
    assert written.ok
    assert isinstance(refused.error, operations.Unavailable)


async def test_an_oversize_write_is_rejected():
    async with connect(make_service()) as client:
        written = await client.replace_if('k', expected=0, value=b'v' * 2**21)
    assert isinstance(written.error, operations.Rejected)


async def test_a_watch_yields_changes_and_progress_until_its_idle_timeout():
    service = make_service(progress=SHORT / 10)
    results = []
    async with connect(service) as client:
        await client.replace_if('k', expected=0, value=b'v' * 900_000)
        async for event in client.watch(
            'k', start_revision=1, idle_timeout=SHORT
        ):
            results.append(event)
            if event.is_ok() and isinstance(event.ok, watchevents.Progress):
                service.controls.update({'silent_watches': True})
    received = [event.ok for event in results if event.is_ok()]
    changed = [
        event for event in received if isinstance(event, watchevents.Changed)
    ]
    assert [len(event.entry.value) for event in changed] == [900_000]
    assert isinstance(results[-1].error, operations.Unavailable)


async def test_the_last_valid_list_is_kept():
    service = liststandin.InstanceList(clock=clock.SystemClock())
    service.put('orders-0', VALID_ENTRY | {'terminating': True})
    async with aiohttp.ClientSession() as session:
        async with server.serving(liststandin.build_app(service)) as address:
            client = instancelist.InstanceList(
                session=session, address=f'http://{address}'
            )
            first = await client.poll()
            unchanged = await client.poll()
        failed = await client.poll()
    assert first.ok == unchanged.ok == client.endpoints
    endpoint = first.ok[0]
    assert endpoint.find_port('http') == 8000
    assert endpoint.terminating
    assert endpoint.availability_zone == 'addis-b'
    assert isinstance(failed.error, instancelist.ListUnavailable)


async def test_a_malformed_slice_is_skipped():
    service = liststandin.InstanceList(clock=clock.SystemClock())
    service.put('good', VALID_ENTRY)
    service.put('bad', VALID_ENTRY | {'address': None})
    app = liststandin.build_app(service)
    async with server.serving(app) as address:
        async with aiohttp.ClientSession() as session:
            client = instancelist.InstanceList(
                session=session, address=f'http://{address}'
            )
            found = await client.poll()
    assert [endpoint.name for endpoint in found.ok] == ['good']
    assert client.skipped == 1
