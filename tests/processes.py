"""A fleet of separate processes for tests."""

import asyncio
import contextlib
import time
from collections import abc

from lavenderledge.policy import table
from lavenderledge.standins import launcher

ROWS = (
    table.Row(
        row='plans',
        customer='*',
        pool='calculator',
        kind='plan',
        tier=1,
        repeatable=True,
    ),
    table.Row(
        row='notes',
        customer='*',
        pool='calculator',
        kind='*',
        tier=3,
        output_tokens=32,
        repeatable=True,
    ),
    table.Row(row='orders', customer='*', pool='orders', kind='*', tier=1),
)
WAIT_TIMEOUT_S = 60


class Answer:
    """An HTTP answer with its complete body."""

    def __init__(self, *, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        return self.headers['x-request-id']


class Fleet(launcher.Launcher):
    """A launcher that also sends requests through instances."""

    def __init__(self, **options):
        super().__init__(**options)
        self.answers = []

    async def call(self, instance, method, path, **options):
        """Send a request through an instance and read the answer."""
        address = self.programs[instance].addresses['listen']
        headers = {'X-Customer': 'hub', **options.pop('headers', {})}
        async with self.session.request(
            method, f'http://{address}{path}', headers=headers, **options
        ) as response:
            answer = Answer(
                status=response.status,
                headers=response.headers,
                body=await response.text(),
            )
        self.answers.append(answer)
        return answer

    async def request_model(
        self, instance, *, kind='plan', tokens=20, **fields
    ):
        """Send a model request."""
        headers = {'X-Request-Kind': kind, **fields.pop('headers', {})}
        document = {
            'model': 'calculator',
            'input': 'lace a wheel ' * 20,
            'metadata': {'output_tokens': tokens},
            **fields,
        }
        return await self.call(
            instance, 'POST', '/v1/responses', json=document, headers=headers
        )

    async def confirm_order(self, instance, key, **options):
        """Send a non-idempotent request."""
        return await self.call(
            instance,
            'POST',
            '/services/orders/confirm',
            data=b'{"hub": 1}',
            headers={'Idempotency-Key': key},
            **options,
        )


@contextlib.asynccontextmanager
async def run_fleet(
    *,
    instances=2,
    engines=2,
    flags=(),
    engine_flags=(),
    rows=ROWS,
    log_path=None,
):
    """Run a fleet until the block ends."""
    async with Fleet(log_path=log_path) as fleet:
        await fleet.start_platform()
        await fleet.put_table(*rows)
        names = [f'entry-{number}' for number in range(instances)]
        await asyncio.gather(
            *(
                fleet.start_engine(
                    f'engine-{number}', 'calculator', *engine_flags
                )
                for number in range(engines)
            ),
            fleet.start_service('orders-0', 'orders'),
            *(fleet.start_instance(name, *flags) for name in names),
        )
        await fleet.wait_until_ready(*names)
        yield fleet


async def wait_for(condition: abc.Callable[[], abc.Awaitable[bool]]):
    """Wait until a condition holds; fail after ``WAIT_TIMEOUT_S``."""
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not await condition():
        assert time.monotonic() < deadline_s, (
            'condition not met within WAIT_TIMEOUT_S'
        )
        await asyncio.sleep(0.05)
