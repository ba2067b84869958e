"""A demonstration: a fleet on stand-ins and the responses it gives."""

import argparse
import asyncio
import json
import typing

from lavenderledge import environment, status
from lavenderledge.standins import launcher, programs

_TABLE = """\
row,customer,pool,kind,tier,weight,rate,timeout_s,output_tokens,repeatable
plans,*,calculator,plan,1,1,,60,120,yes
checks,*,calculator,check,2,1,,30,30,yes
notes,*,calculator,note,3,1,20,30,12,yes
orders,*,orders,*,1,1,,10,1,no
"""
_INSTANCES = ('entry-a', 'entry-b', 'entry-c')
_ZONES = ('addis-a', 'addis-b', 'addis-c')
_ENGINES = (('fast', '0.005'), ('usual', '0.01'), ('slow', '0.02'))
_PLAN_TOKENS = 120
_NOTE_TOKENS = 12
_MAX_DISPLAYED_CHARS = 60


class DemoFailure(Exception):
    """A step of the demonstration had an unexpected result."""


class _Exchange(typing.NamedTuple):
    status: int
    headers: dict[str, str]
    text: str


class _Demo:
    """The steps of the demonstration, run on one fleet."""

    def __init__(
        self, *, fleet: launcher.Launcher, stdout: typing.TextIO
    ) -> None:
        """Take a launcher that has started no programs."""
        self._fleet = fleet
        self._stdout = stdout

    async def run(self) -> None:
        """Run all steps; raises ``DemoFailure``."""
        for step in (
            self._start,
            self._serve_models,
            self._serve_orders,
            self._edit_table,
            self._stop_instance,
        ):
            await step()
        self._print(
            'Done: every response was complete, and the order ran once.'
        )

    async def _start(self) -> None:
        self._print('Starting a key-value service, an instance list, three')
        self._print(
            'engines of different speeds, an order service, 3 instances.'
        )
        await self._start_programs(self._fleet)
        await self._run_command('table', 'import', '-', stdin=_TABLE)
        await self._fleet.wait_until_ready(*_INSTANCES)
        await self._run_command('table', 'show')
        await self._run_command('status')

    async def _start_programs(self, fleet: launcher.Launcher) -> None:
        await fleet.start_platform()
        await asyncio.gather(
            *(
                fleet.start_engine(
                    name, 'calculator', f'--token-gap-s={gap}', zone=zone
                )
                for (name, gap), zone in zip(_ENGINES, _ZONES)
            ),
            fleet.start_service('orders-0', 'orders'),
            *(
                fleet.start_instance(name, '--notice-period=1', zone=zone)
                for name, zone in zip(_INSTANCES, _ZONES)
            ),
        )

    async def _serve_models(self) -> None:
        self._print('\nA lacing plan through entry-a, streamed:')
        plan = await self._send_model_request(
            'entry-a', 'plan', _PLAN_TOKENS, stream=True
        )
        tokens = plan.text.count('event: response.output_text.delta')
        self._show(plan, f'{tokens} tokens, each in an event of its own')
        self._expect(
            tokens == _PLAN_TOKENS,
            f'expected {_PLAN_TOKENS} token events, got {tokens}',
        )
        self._print('\nA pattern note through entry-b:')
        note = await self._send_model_request(
            'entry-b', 'note', _NOTE_TOKENS, stream=False
        )
        response = json.loads(note.text)
        self._show(note, response['output'][0]['content'][0]['text'])

    async def _serve_orders(self) -> None:
        self._print('\nAn order with an Idempotency-Key through entry-c:')
        first = await self._send_order('entry-c')
        self._show(first, first.text)
        self._print('The same order again, through entry-a:')
        second = await self._send_order('entry-a')
        self._show(second, second.text)
        runs = await self._fleet.read_json('orders-0', '/standin/runs')
        self._print(f'  the service ran it {runs["order-1"]} time(s)')
        self._expect(
            first.text == second.text,
            'the replayed response differs from the first',
        )
        self._expect(
            runs['order-1'] == 1,
            f'expected 1 run of the order, got {runs["order-1"]}',
        )

    async def _edit_table(self) -> None:
        self._print('\nAn edit, in force on every instance when it returns:')
        await self._run_command('table', 'set', 'notes', 'rate=5', 'tier=4')
        await self._run_command('table', 'status')
        await self._run_command('table', 'history')

    async def _stop_instance(self) -> None:
        self._print('\nA graceful stop of entry-b with a plan in flight:')
        plan = asyncio.create_task(
            self._send_model_request(
                'entry-b', 'plan', _PLAN_TOKENS, stream=True
            )
        )
        program = self._fleet.programs['entry-b']
        while not (await self._read_status('entry-b'))['running']:
            await asyncio.sleep(0)
        program.terminate()
        response = await plan
        exit_status = await program.process.wait()
        complete = 'event: response.completed' in response.text
        self._show(
            response,
            f'complete: {complete}; entry-b exited with status {exit_status}',
        )
        self._expect(
            complete and exit_status == 0,
            'the graceful stop interrupted a request',
        )

    async def _read_status(self, name: str) -> typing.Any:
        return await self._fleet.read_json(name, '/status')

    async def _send_model_request(
        self, instance: str, kind: str, tokens: int, *, stream: bool
    ) -> _Exchange:
        document = {
            'model': 'calculator',
            'input': f'{kind} for a 36 spoke wheel, laced three cross',
            'max_output_tokens': tokens,
            'metadata': {'output_tokens': tokens},
            'stream': stream,
        }
        return await self._post(
            instance,
            '/v1/responses',
            json.dumps(document),
            {'X-Request-Kind': kind},
        )

    async def _send_order(self, instance: str) -> _Exchange:
        return await self._post(
            instance,
            '/services/orders/confirm',
            '{"hubs": 2}',
            {'Idempotency-Key': 'order-1'},
        )

    async def _post(
        self, instance: str, path: str, body: str, headers: dict[str, str]
    ) -> _Exchange:
        address = self._fleet.programs[instance].addresses['listen']
        async with self._fleet.session.post(
            f'http://{address}{path}',
            data=body,
            headers={'X-Customer': 'spoke-dealer', **headers},
        ) as response:
            return _Exchange(
                response.status,
                dict(response.headers),
                await response.text(),
            )

    async def _run_command(self, *words: str, stdin: str = '') -> None:
        command = ' '.join(words)
        self._print(f'\n$ lavenderledge {command}')
        completed = await self._fleet.run_command(*words, stdin=stdin)
        self._print(completed.stdout.rstrip())
        self._expect(
            completed.status == status.ExitStatus.SUCCESS,
            f'{command} exited with {completed.status}: {completed.stderr}',
        )

    def _show(self, response: _Exchange, text: str) -> None:
        replayed = response.headers.get('idempotent-replayed', 'false')
        displayed = (
            text
            if len(text) <= _MAX_DISPLAYED_CHARS
            else f'{text[:_MAX_DISPLAYED_CHARS]}…'
        )
        self._print(f'  {response.status} replayed={replayed} {displayed}')

    def _print(self, text: str) -> None:
        self._stdout.write(f'{text}\n')
        self._stdout.flush()

    def _expect(self, condition: bool, message: str) -> None:
        if not condition:
            raise DemoFailure(message)


def run(
    parsed: argparse.Namespace, env: environment.Environment
) -> status.ExitStatus:
    """Run the demonstration and stop every program that it started."""
    try:
        asyncio.run(_demonstrate(env))
    except (DemoFailure, programs.LaunchError) as failure:
        env.write_error(
            program='lavenderledge-standin demo', message=str(failure)
        )
        return status.ExitStatus.ERROR
    return status.ExitStatus.SUCCESS


async def _demonstrate(env: environment.Environment) -> None:
    async with launcher.Launcher() as fleet:
        await _Demo(fleet=fleet, stdout=env.stdout).run()
