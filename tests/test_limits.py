"""Limits of the requests held by an instance, by tier, and settings."""

import asyncio
import io

import expression
import hypothesis
from hypothesis import strategies as st

from lavenderledge import environment, outcomes, status
from lavenderledge.daemon import core
from lavenderledge.filters import exchange, limit
from lavenderledge.policy import table
from tests import processes

BOUNDS = limit.Bounds(requests=3, customer_requests=4, body_bytes=100)
ROWS = (
    table.Row('plans', '*', 'calculator', 'plan', 1, repeatable=True),
    table.Row('notes', '*', 'calculator', '*', 3, repeatable=True),
)
REQUESTS = st.tuples(
    st.sampled_from(('dealer', 'guild')),
    st.integers(1, 4),
    st.integers(0, 80),
    st.booleans(),
)


async def enter(usage, request):
    """Pass one request through the filter; it is held until its cleanup."""
    customer, tier, size, displaces = request
    call = exchange.Call('POST', '/', '', {}, bytes(size), 0)
    current = exchange.Exchange(request_id='x', call=call)
    current.identity = exchange.Identity(customer, 'any', None, None)
    current.row = ROWS[0]._replace(tier=tier)

    async def proceed(current):
        return expression.Ok(exchange.Answer(200, ()))

    step = limit.make_limit(usage=usage, displace=lambda tier: displaces)
    return current, await step(current, proceed)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(requests=st.lists(REQUESTS, max_size=20))
def test_bounds_hold_by_customer_and_tier(requests):
    asyncio.run(check_bounds(requests))


async def check_bounds(requests):
    usage = limit.ResourceUsage(bounds=BOUNDS)
    held = []
    for request in requests:
        customer, tier, size, displaces = request
        own = [each for each in held if each[0] == customer and each[1] <= tier]
        used = sum(each[2] for each in held) + size
        full = len(held) >= 3 or used > 100
        current, outcome = await enter(usage, request)
        if len(own) >= 4:
            assert outcome.error.reason is outcomes.Reason.CALLER_LIMIT
        elif (len(held) >= 6 and not displaces) or used > 200:
            assert outcome.error.reason is outcomes.Reason.MEMORY_FULL
        else:
            assert outcome.is_ok()
            assert current.immediate == (full and not displaces)
            held.append((*request, current))
            continue
        assert outcome.error.outcome is outcomes.Outcome.NOT_RUN
    assert usage.requests == len(held)
    for *_, current in held:
        await current.cleanup.aclose()
    assert (usage.requests, usage.body_bytes) == (0, 0)


def test_settings_errors_are_reported_together_without_secrets():
    stderr = io.StringIO()
    secret = 'not-a-key-but-still-a-secret'
    env = environment.Environment(
        stdout=io.StringIO(),
        stderr=stderr,
        variables={'LAVENDERLEDGE_PEER_SECRET_KEY': secret},
    )
    ended = core.main(['--listen=nowhere', '--max-requests=-1'], env)
    assert ended is status.ExitStatus.USAGE
    reported = stderr.getvalue()
    for flag in ('instance', 'keyvalue', 'listen', 'max-requests'):
        variable = flag.replace('-', '_').upper()
        assert f'--{flag} (LAVENDERLEDGE_{variable}): ' in reported
    assert '--peer-secret-key (LAVENDERLEDGE_PEER_SECRET_KEY): ' in reported
    assert secret not in reported


async def test_a_higher_tier_displaces_lower_tiers_of_a_full_instance():
    flags = ('--max-requests=16',)
    # Half of the held requests wait while the other notes run.
    engine_flags = ('--token-gap-s=0.02', '--max-running=8')
    async with processes.run_fleet(
        instances=1, engines=1, flags=flags, engine_flags=engine_flags
    ) as running:
        notes = [
            asyncio.create_task(
                running.request_model('entry-0', kind='note', tokens=200)
            )
            for _ in range(40)
        ]

        async def is_full():
            instance_status = await running.read_json('entry-0', '/status')
            return (
                instance_status['waiting'] >= 6
                and instance_status['in_flight'] >= 16
            )

        await processes.wait_for(is_full)
        plans = await asyncio.gather(
            *(running.request_model('entry-0', tokens=20) for _ in range(6))
        )
        assert [plan.status for plan in plans] == [200] * 6
        answers = await asyncio.gather(*notes)
        displaced = ['displaced' in answer.body for answer in answers]
        assert sum(displaced) == 6
        for answer in answers:
            if answer.status != 200:
                assert answer.status == 503
