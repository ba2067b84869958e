import asyncio
import json

from tests import processes


async def test_requests_are_served_through_separate_processes():
    async with processes.run_fleet(instances=3) as running:
        plan, note = await asyncio.gather(
            running.request_model('entry-0', tokens=50, stream=True),
            running.request_model('entry-1', kind='note', tokens=5),
        )
        assert plan.status == 200
        assert plan.body.count('response.output_text.delta') == 2 * 50
        assert 'event: response.completed' in plan.body
        assert json.loads(note.body)['usage']['output_tokens'] == 5
        first = await running.confirm_order('entry-1', 'order-1')
        again = await running.confirm_order('entry-2', 'order-1')
        assert first.status == 200
        assert json.loads(first.body) == json.loads(again.body)
        assert again.headers['idempotent-replayed'] == 'true'
        runs = await running.read_json('orders-0', '/standin/runs')
        assert runs['order-1'] == 1


async def test_bad_requests_get_typed_errors():
    async with processes.run_fleet(instances=1, engines=1) as running:
        cases = [
            (
                await running.request_model('entry-0', model='other'),
                404,
                'no_such_pool',
            ),
            (await running.request_model('entry-0', input=7), 400, 'malformed'),
            (
                await running.call(
                    'entry-0', 'POST', '/v1/responses', data=b'{'
                ),
                400,
                'malformed',
            ),
            (
                await running.call('entry-0', 'GET', '/v1/responses'),
                405,
                'method_not_allowed',
            ),
            (
                await running.call('entry-0', 'GET', '/nowhere'),
                404,
                'no_such_path',
            ),
            (
                await running.call('entry-0', 'POST', '/services/orders/x'),
                400,
                'idempotency_key_missing',
            ),
            (
                await running.request_model(
                    'entry-0', headers={'X-Customer': ''}
                ),
                401,
                'customer_missing',
            ),
            (
                await running.request_model('entry-0', input='x' * 2_000_000),
                413,
                'too_large',
            ),
            (
                await running.request_model(
                    'entry-0', headers={'X-Request-Timeout': 'soon'}
                ),
                400,
                'malformed',
            ),
        ]
        for answer, status, code in cases:
            error = json.loads(answer.body)['error']
            assert (answer.status, error['code']) == (status, code)
            assert error['outcome'] == 'not_run'
            assert answer.headers['x-request-outcome'] == 'not_run'
        log = await running.read_json('engine-0', '/standin/log')
        assert not log['records']


async def test_any_instance_resumes_a_response():
    async with processes.run_fleet() as running:
        plan = await running.request_model('entry-0', tokens=30)
        document = json.loads(plan.body)
        path = f'/v1/responses/{document["id"]}'
        resumed = await running.call(
            'entry-1', 'GET', f'{path}?stream=true&starting_after=20'
        )
        numbers = [
            json.loads(line.removeprefix('data: '))['sequence_number']
            for line in resumed.body.splitlines()
            if line.startswith('data: ')
        ]
        assert numbers == list(range(21, 32))
        other_customer = await running.call(
            'entry-1', 'GET', path, headers={'X-Customer': 'other'}
        )
        assert other_customer.status == 404
