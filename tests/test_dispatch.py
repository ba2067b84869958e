"""A request is dispatched at most once; one reported not run has not run."""

import asyncio
import datetime
import socket

import pytest
import pytest_asyncio

from lavenderledge import clock as clocks
from lavenderledge import outcomes
from lavenderledge.controllers import admission
from lavenderledge.filters import admit, chain, deadlines, dispatch, exchange
from lavenderledge.peers import messages
from lavenderledge.policy import table
from lavenderledge.standins import launcher, plain, server
from lavenderledge.upstreams import connection
from tests import oracle, processes, relay, serving

pytestmark = pytest.mark.asyncio(loop_scope='module')

FLAGS = ('--silence-timeout=0.5', '--lost-timeout=3')
ENGINES = ('engine-0', 'engine-1')
ROWS = (
    *processes.ROWS,
    table.Row('jobs', '*', 'jobs', '*', 1, timeout_s=5, repeatable=True),
    table.Row('gone', '*', 'gone', '*', 1, timeout_s=2, repeatable=True),
    table.Row('odd', '*', 'odd', '*', 1, timeout_s=5, repeatable=True),
)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet():
    with socket.socket() as closed_port:
        # Bound but not listening, so connections are refused.
        closed_port.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{closed_port.getsockname()[1]}'
        async with processes.run_fleet(flags=FLAGS, rows=ROWS) as running:
            await running.start_service('jobs-0', 'jobs')
            for name, pool in (('jobs-dead', 'jobs'), ('gone-0', 'gone')):
                await running.publish_upstream(
                    launcher.Upstream(name, pool, 'plain', 'zone-a', address)
                )
            await wait_until_listed(running, 'jobs', 'gone')
            yield running
            await oracle.audit(running)


async def wait_until_listed(running, *pools):
    """Wait until both instances list the pools."""

    async def is_listed():
        listed = set()
        for name in ('entry-0', 'entry-1'):
            status = await running.read_json(name, '/status')
            listed.update(status['pools'])
        return listed.issuperset(pools)

    await processes.wait_for(is_listed)


async def count_retries(running, reason):
    total = 0
    for name in ('entry-0', 'entry-1'):
        address = running.programs[name].addresses['admin']
        async with running.session.get(f'http://{address}/metrics') as answer:
            lines = (await answer.text()).splitlines()
        metric = f'lavenderledge_retries_total{{reason="{reason}"}}'
        total += sum(
            float(line.split()[-1]) for line in lines if line.startswith(metric)
        )
    return total


async def test_a_refused_connection_is_retried_elsewhere(fleet):
    answers = await asyncio.gather(
        *(
            fleet.call(f'entry-{number % 2}', 'POST', '/services/jobs/note')
            for number in range(20)
        )
    )
    assert [(a.status, a.body) for a in answers if a.status != 200] == []
    assert await count_retries(fleet, 'connect_failed')
    runs = await oracle.read_runs(fleet)
    assert all(answer.request_id in runs for answer in answers)


@pytest.mark.parametrize('switch', ['close_before', 'close_after'])
@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
async def test_a_call_without_an_answer_is_never_resent(fleet, method, switch):
    before = await oracle.count_calls(fleet, 'call', 'orders-0')
    await fleet.set_switches('orders-0', **{switch: 1})
    answer = await fleet.call(
        'entry-1',
        method,
        '/services/orders/confirm',
        headers={'Idempotency-Key': f'{method}-{switch}'},
    )
    calls = await oracle.count_calls(fleet, 'call', 'orders-0')
    await fleet.set_switches('orders-0', close_before=0, close_after=0)
    oracle.check_refused(answer, 'upstream_lost', 'unknown')
    assert calls == before + 1


async def test_an_engines_refusal_is_final(fleet):
    before = await oracle.count_calls(fleet, 'create', *ENGINES)
    for name in ENGINES:
        await fleet.set_switches(name, refuse=True)
    answer = await fleet.request_model('entry-0')
    for name in ENGINES:
        await fleet.set_switches(name, refuse=False)
    oracle.check_refused(answer, 'upstream_refused', 'failed')
    assert await oracle.count_calls(fleet, 'create', *ENGINES) == before + 1
    assert await oracle.read_status(fleet, answer.request_id) is None


@pytest.mark.parametrize('streamed', [True, False])
async def test_a_silent_creation_is_resumed_not_sent_again(fleet, streamed):
    before = await oracle.count_calls(fleet, 'create', *ENGINES)
    for name in ENGINES:
        await fleet.set_switches(name, silent_new=1)
    answer = await fleet.request_model('entry-1', tokens=30, stream=streamed)
    for name in ENGINES:
        await fleet.set_switches(name, silent_new=0)
    oracle.check_complete(answer, 30)
    assert await oracle.count_calls(fleet, 'create', *ENGINES) == before + 1


async def test_requests_reported_not_run_have_not_run(fleet):
    answers = await asyncio.gather(
        fleet.call('entry-0', 'POST', '/services/gone/note'),
        fleet.call(
            'entry-1',
            'POST',
            '/services/gone/note',
            headers={'X-Request-Timeout': '0.2'},
        ),
        fleet.request_model(
            'entry-0', headers={'X-Request-Timeout': '0.000001'}
        ),
        fleet.call('entry-0', 'POST', '/services/orders/confirm'),
    )
    for answer in answers:
        assert answer.headers['x-request-outcome'] == 'not_run'
    assert await oracle.audit(fleet) >= len(answers)


async def test_an_expired_grant_is_requested_again():
    """The clock passes the grant's expiry between grant and dispatch."""
    clock = serving.ManualClock()
    service = plain.PlainService(
        clock=clocks.SystemClock(),
        name='jobs',
        call_duration=datetime.timedelta(),
    )
    received = []
    retried = []

    def grant(instance, message):
        if not isinstance(message, messages.NewAsk):
            return
        received.append(message)
        granted = messages.Grant(
            'a',
            'jobs',
            len(received),
            'late',
            'jobs-0',
            path.address,
            clock.now_s,
        )
        requests.receive(granted)
        if len(received) == 1:
            clock.now_s += 2 * admission.GRANT_TTL.total_seconds()

    requests = admission.Admission(
        instance='a',
        incarnation=1,
        clock=clock,
        send=grant,
        find_allocator=lambda pool: 'a',
        on_preempt=retried.append,
    )
    client = connection.UpstreamClient(connect_timeout_s=5)
    context = dispatch.Context(
        client=client,
        clock=clock,
        requests=requests,
        silence_timeout_s=5,
        lost_timeout_s=5,
        max_answer_bytes=1024,
        count_retry=retried.append,
        run_detached=asyncio.ensure_future,
    )
    handler = chain.build_chain(
        (
            dispatch.make_retry(context, attempts=2),
            admit.make_admit(
                requests=requests, clock=clock, granted_exchanges={}
            ),
        ),
        dispatch.make_dispatch(context),
    )
    call = exchange.Call('POST', '/', '', {}, b'', clock.now_s)
    current = exchange.Exchange(request_id='late', call=call)
    current.row = ROWS[-1]
    current.work = exchange.Work('jobs', '/note', '', '', False, None)
    current.deadline_s = clock.now_s + 60
    async with server.serving(plain.build_app(service)) as address:
        path = relay.Relay(target=address)
        await path.start()
        outcome = await handler(current)

        async def is_closed():
            return not path.count_open()

        await processes.wait_for(is_closed)
        await path.close()
    await client.close()
    assert outcome.ok.status == 200
    assert retried == ['grant_lapsed']
    assert len(received) == path.accepted == 2
    assert service.runs == {'late': 1}


@pytest.mark.parametrize('early', [True, False])
async def test_an_interrupt_ends_the_current_or_next_section(early):
    call = exchange.Call('POST', '/', '', {}, b'', 0)
    current = exchange.Exchange(request_id='short', call=call)
    clock = clocks.SystemClock()
    current.deadline_s = clock.read_monotonic() + processes.WAIT_TIMEOUT_S
    if early:
        current.interrupt(outcomes.Reason.PREEMPTED)
    async with deadlines.limit_time(clock, current) as limit:
        if not early:
            current.interrupt(outcomes.Reason.PREEMPTED)
        await asyncio.get_running_loop().create_future()
    assert limit.reason is outcomes.Reason.PREEMPTED
