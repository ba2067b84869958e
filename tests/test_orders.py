"""Non-idempotent calls while processes and the platform fail."""

import asyncio
import json
import signal

from lavenderledge.controllers import claims
from tests import processes

FLAGS = ('--claim-timeout=1', '--notice-period=0')


async def test_orders_run_at_most_once_under_failure():
    async with processes.run_fleet(
        instances=3, engines=0, flags=FLAGS
    ) as running:
        for case in (
            send_through_two_instances_at_once,
            refuse_in_an_outage_and_run_afterwards,
            resolve_a_lost_answer,
            resume_a_paused_holder,
            kill_an_instance_that_waits_for_the_answer,
        ):
            await case(running)
        runs = await running.read_json('orders-0', '/standin/runs')
        keys = {key: count for key, count in runs.items() if '-case' in key}
        assert set(keys.values()) == {1}
        assert len(keys) == 5


async def send_through_two_instances_at_once(running):
    answers = await asyncio.gather(
        running.confirm_order('entry-0', 'at-once-case'),
        running.confirm_order('entry-1', 'at-once-case'),
        running.confirm_order('entry-2', 'at-once-case'),
    )
    assert 200 in {answer.status for answer in answers}
    for answer in answers:
        if answer.status != 200:
            assert answer.headers['x-request-outcome'] == 'unknown'


async def refuse_in_an_outage_and_run_afterwards(running):
    for outage in (True, 'silent'):
        await running.set_switches('keyvalue', outage=outage)
        refused = await running.confirm_order('entry-0', 'outage-case')
        error = json.loads(refused.body)['error']
        assert error['code'] == 'claim_unavailable'
        assert error['outcome'] == 'not_run'
        await running.set_switches('keyvalue', outage=False)
    await wait_for_run(running, 'entry-1', 'outage-case')


async def resolve_a_lost_answer(running):
    await running.set_switches('keyvalue', lose_answers=1)
    answer = await running.confirm_order('entry-0', 'lost-case')
    assert answer.status == 200
    await wait_for_run(running, 'entry-1', 'lost-case')


async def resume_a_paused_holder(running):
    """Pause a claim's holder while it waits for a replica."""
    await running.remove_endpoint('orders-0')
    await wait_until_unlisted(running)
    held = asyncio.create_task(running.confirm_order('entry-0', 'paused-case'))
    await wait_for_claim(running, 'paused-case')
    running.programs['entry-0'].send_signal(signal.SIGSTOP)
    await list_orders(running)
    other = await running.confirm_order('entry-1', 'paused-case')
    assert json.loads(other.body)['error']['outcome'] == 'unknown'
    running.programs['entry-0'].send_signal(signal.SIGCONT)
    answer = await held
    assert answer.status == 200
    await wait_for_run(running, 'entry-2', 'paused-case')


async def kill_an_instance_that_waits_for_the_answer(running):
    await running.set_switches('orders-0', slowdown_s=2)
    held = asyncio.create_task(running.confirm_order('entry-0', 'killed-case'))

    async def has_run():
        log = await running.read_json('orders-0', '/standin/log')
        return any('killed-case' in str(each) for each in log['records'])

    await processes.wait_for(has_run)
    await running.programs['entry-0'].kill()
    await asyncio.gather(held, return_exceptions=True)
    again = await running.confirm_order('entry-1', 'killed-case')
    error = json.loads(again.body)['error']
    assert (error['code'], error['outcome']) == (
        'idempotency_key_in_use',
        'unknown',
    )


async def wait_for_run(running, instance, key):
    """Repeat an order until it is answered."""

    async def is_answered():
        return (await running.confirm_order(instance, key)).status == 200

    await processes.wait_for(is_answered)


async def wait_for_claim(running, key):
    """Wait until an attempt has created the claim of a key."""
    name = claims.name_claim('hub', key)

    async def is_claimed():
        log = await running.read_json('keyvalue', '/standin/log')
        return any(name in str(record) for record in log['records'])

    await processes.wait_for(is_claimed)


async def wait_until_unlisted(running):
    async def is_unlisted():
        found = await asyncio.gather(
            *(running.read_json(f'entry-{n}', '/status') for n in range(3))
        )
        return not any('orders' in status['pools'] for status in found)

    await processes.wait_for(is_unlisted)


async def list_orders(running):
    await running.publish_upstream(
        processes.launcher.Upstream(
            'orders-0',
            'orders',
            'plain',
            'zone-a',
            running.programs['orders-0'].address,
        )
    )
