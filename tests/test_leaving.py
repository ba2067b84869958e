"""Callers that disconnect, deadlines, and upstreams that leave."""

import asyncio

import pytest
import pytest_asyncio

from lavenderledge.standins import launcher
from tests import oracle, processes

pytestmark = pytest.mark.asyncio(loop_scope='module')

FLAGS = ('--silence-timeout=0.5', '--lost-timeout=3')
ENGINE_FLAGS = ('--token-gap-s=0.005',)
ENGINES = ('engine-0', 'engine-1', 'engine-2')
NOTE_TOKENS = 20
NOTES_PER_ROUND = 80
ROUNDS = 3
STREAMS = 2
# More tokens than an engine produces before it is told to finish.
ENDLESS = 10**6
# Streams may run for as long as the test needs.
ROWS = tuple(row._replace(timeout_s=600) for row in processes.ROWS)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet():
    async with processes.run_fleet(
        flags=FLAGS, engines=3, engine_flags=ENGINE_FLAGS, rows=ROWS
    ) as running:
        yield running
        await oracle.audit(running)


async def find_status(fleet, caller):
    """Return the status of a caller's model request, or ``None``."""
    for places in (await oracle.read_runs(fleet)).values():
        for record in places.values():
            if record.get('metadata', {}).get('caller') == caller:
                return record['status']
    return None


async def wait_for_status(fleet, caller, *statuses):
    async def has_status():
        return await find_status(fleet, caller) in statuses

    await processes.wait_for(has_status)


async def send_and_disconnect(
    fleet, caller, *, tokens=5000, headers=(), **fields
):
    """Send a request and disconnect while it runs; return its status."""
    task = asyncio.create_task(
        fleet.request_model(
            'entry-0',
            metadata={'output_tokens': tokens, 'caller': caller},
            headers=dict(headers),
            **fields,
        )
    )
    await wait_for_status(fleet, caller, 'in_progress')
    task.cancel()
    await asyncio.wait((task,))
    await wait_for_status(fleet, caller, 'completed', 'cancelled', 'orphaned')
    return await find_status(fleet, caller)


@pytest.mark.parametrize('streamed', [True, False])
@pytest.mark.parametrize('silent', [0, 1])
async def test_a_caller_that_leaves_cancels_its_request(
    fleet, streamed, silent
):
    for name in ENGINES:
        await fleet.set_switches(name, silent_new=silent)
    caller = f'leaves-{streamed}-{silent}'
    status = await send_and_disconnect(fleet, caller, stream=streamed)
    for name in ENGINES:
        await fleet.set_switches(name, silent_new=0)
    assert status == 'cancelled'


@pytest.mark.parametrize(
    'options',
    [{'background': True}, {'headers': {'Idempotency-Key': 'stays'}}],
)
async def test_background_or_keyed_work_outlives_its_caller(fleet, options):
    caller = f'stays-{"headers" in options}'
    status = await send_and_disconnect(
        fleet, caller, tokens=300, stream=True, **options
    )
    assert status == 'completed'


@pytest.mark.parametrize('streamed', [True, False])
async def test_a_deadline_ends_and_cancels_a_stream(fleet, streamed):
    answer = await fleet.request_model(
        'entry-1',
        kind='note',
        tokens=5000,
        stream=streamed,
        headers={'X-Request-Timeout': '0.7'},
    )
    oracle.check_refused(answer, 'deadline_exceeded', 'failed')
    status = await oracle.read_status(fleet, answer.request_id)
    assert status == 'cancelled'


async def mark_in_list(fleet, name, leaving):
    upstream = launcher.Upstream(
        name, 'calculator', 'engine', 'zone-a', fleet.programs[name].address
    )
    await fleet.set_switches('instancelist', lag_s=1)
    await fleet.publish_upstream(upstream, terminating=leaving)


def mark_by_switches(**switches):
    async def mark_leaving(fleet, name, leaving):
        values = {key: leaving for key in switches}
        await fleet.set_switches(name, **values)

    return mark_leaving


@pytest.mark.parametrize(
    ('victim', 'mark_leaving'),
    [
        ('engine-0', mark_in_list),
        ('engine-1', mark_by_switches(unhealthy=True)),
        ('engine-2', mark_by_switches(refuse=True)),
    ],
    ids=['listed', 'unhealthy', 'refuses'],
)
async def test_a_leaving_upstream_gets_no_new_work(fleet, victim, mark_leaving):
    """Its running streams complete, and it starts no new request."""
    streams = await start_streams(fleet, victim)
    await mark_leaving(fleet, victim, leaving=True)
    note_answers = []

    async def gets_no_notes():
        counts = [
            await send_notes(fleet, note_answers, victim) for _ in range(ROUNDS)
        ]
        return not any(counts)

    await processes.wait_for(gets_no_notes)
    assert await count_running(fleet, victim) >= STREAMS
    for name in ENGINES:
        await fleet.set_switches(name, finish=True)
    await check_streams(fleet, await asyncio.gather(*streams))
    for answer in note_answers:
        if answer.status == 200:
            oracle.check_complete(answer, NOTE_TOKENS)
        else:
            oracle.check_refused(answer, 'upstream_refused', 'failed')
    await mark_leaving(fleet, victim, leaving=False)

    async def gets_notes():
        return await send_notes(fleet, [], victim) > 0

    await processes.wait_for(gets_notes)


async def start_streams(fleet, victim):
    """Start streams that run until told to finish, ``STREAMS`` at the victim.

    The other engines are not ready meanwhile, and get requests again after it.
    """
    others = [name for name in ENGINES if name != victim]
    for name in others:
        await fleet.set_switches(name, unhealthy=True)
    streams = []

    async def run_at_victim():
        caller = f'{victim}-{len(streams)}'
        streams.append(
            asyncio.create_task(
                fleet.request_model(
                    f'entry-{len(streams) % 2}',
                    stream=True,
                    metadata={'output_tokens': ENDLESS, 'caller': caller},
                )
            )
        )
        await wait_for_status(fleet, caller, 'in_progress')
        return await count_running(fleet, victim) >= STREAMS

    await processes.wait_for(run_at_victim)
    for name in others:
        await fleet.set_switches(name, unhealthy=False)

    async def get_notes():
        counts = [await send_notes(fleet, [], name) for name in others]
        return all(counts)

    await processes.wait_for(get_notes)
    return streams


async def count_running(fleet, name):
    """Return how many streams of ``start_streams`` run at an engine."""
    records = [
        places[name]
        for places in (await oracle.read_runs(fleet)).values()
        if name in places
    ]
    return sum(
        record.get('wanted_tokens') == ENDLESS
        and record['status'] == 'in_progress'
        for record in records
    )


async def send_notes(fleet, answers, name):
    """Send a round of notes; return how many an engine received."""
    before = await oracle.count_calls(fleet, 'create', name)
    answers.extend(
        await asyncio.gather(
            *(
                fleet.request_model(
                    f'entry-{number % 2}', kind='note', tokens=NOTE_TOKENS
                )
                for number in range(NOTES_PER_ROUND)
            )
        )
    )
    return await oracle.count_calls(fleet, 'create', name) - before


async def check_streams(fleet, answers):
    """Check that streams have all tokens that their engines produced."""
    runs = await oracle.read_runs(fleet)
    for answer in answers:
        (record,) = runs[answer.request_id].values()
        assert record['status'] == 'completed'
        oracle.check_complete(
            answer, record['tokens'], caller=record['metadata']['caller']
        )
