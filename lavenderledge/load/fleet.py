"""The stand-ins and instances of one run, as child processes."""

import asyncio
import contextlib
import os
import typing
from collections import abc

import msgspec

from lavenderledge.load import workloads
from lavenderledge.policy import table
from lavenderledge.standins import launcher

DIRECT: typing.Final = 'direct'
TOOL_NAME: typing.Final = 'load-tool'


class EngineRecord(msgspec.Struct):
    """A request in an engine's log; times in wall-clock seconds."""

    id: str
    status: str
    received_s: float
    started_s: float | None
    first_token_s: float | None
    finished_s: float | None
    prompt_tokens: int
    cached_tokens: int
    prefill_tokens: int
    tokens: int
    metadata: dict[str, typing.Any]
    replica: str = ''

    @property
    def number(self) -> int:
        """Return the request's number in the trace."""
        return int(self.metadata['request'])


class Fleet(launcher.Launcher):
    """Starts and controls the programs of one run."""

    def __init__(
        self, *, user: workloads.User, log_path: str | None = None
    ) -> None:
        """Name the programs; none is started yet."""
        super().__init__(log_path=log_path)
        self.user = user
        self.engines = [
            f'{user.pool}-{number}' for number in range(len(user.engines))
        ]
        self.instances = [f'entry-{number}' for number in range(user.instances)]

    async def start_all(
        self, policy: str, rows: abc.Iterable[table.Row]
    ) -> None:
        """Start every program and wait until all are ready."""
        await self.start_platform()
        await self.put_table(*rows)
        await asyncio.gather(
            *(self._start_engine(number) for number in range(len(self.engines)))
        )
        if policy == DIRECT:
            return
        await asyncio.gather(
            *(
                self.start_instance(
                    name,
                    f'--policy={policy}',
                    '--log-level=warning',
                    '--max-customer-requests=10000',
                    '--max-requests=20000',
                    zone=_pick_zone(number),
                )
                for number, name in enumerate(self.instances)
            )
        )
        await self.wait_until_ready(*self.instances)

    def list_addresses(self, policy: str) -> list[str]:
        """Return the addresses that callers send requests to."""
        if policy == DIRECT:
            return [self.programs[name].address for name in self.engines]
        return [
            self.programs[name].addresses['listen'] for name in self.instances
        ]

    def list_pids(self) -> dict[str, int]:
        """Return the process ids of all programs and of this tool."""
        pids = {
            name: program.process.pid for name, program in self.programs.items()
        }
        return {**pids, TOOL_NAME: os.getpid()}

    async def read_records(self) -> list[EngineRecord]:
        """Return the last record of every request at every engine."""
        records_by_engine = await asyncio.gather(
            *map(self._read_records, self.engines)
        )
        return [record for records in records_by_engine for record in records]

    async def read_metrics(self, name: str) -> dict[str, float]:
        """Return an instance's metrics, keyed by name and labels."""
        address = self.programs[name].addresses['admin']
        async with self.session.get(f'http://{address}/metrics') as response:
            lines = (await response.text()).splitlines()
        pairs = [line.rsplit(' ', 1) for line in lines if line[:1] != '#']
        return {pair[0]: float(pair[1]) for pair in pairs if len(pair) == 2}

    async def set_slowdown(
        self, engines: abc.Iterable[int], factor: float
    ) -> None:
        """Make each step of these engines take ``factor`` times as long."""
        await asyncio.gather(
            *(
                self.set_switches(self.engines[number], slowdown=factor)
                for number in engines
            )
        )

    async def _start_engine(self, number: int) -> None:
        await self.start_engine(
            self.engines[number],
            self.user.pool,
            *self.user.engines[number].list_flags(),
            zone=_pick_zone(number),
        )

    async def _read_records(self, name: str) -> list[EngineRecord]:
        log = await self.read_json(name, '/standin/log')
        last_records: dict[str, EngineRecord] = {}
        for document in log['records']:
            if document['kind'] == 'request':
                record = msgspec.convert(document, EngineRecord)
                record.replica = name
                last_records[record.id] = record
        return list(last_records.values())


@contextlib.asynccontextmanager
async def run_fleet(
    user: workloads.User,
    policy: str,
    *,
    log_path: str | None = None,
    rows: abc.Iterable[table.Row] | None = None,
) -> abc.AsyncIterator[Fleet]:
    """Run a fleet for the duration of a ``with`` block."""
    async with Fleet(user=user, log_path=log_path) as fleet:
        await fleet.start_all(
            policy, user.build_rows() if rows is None else rows
        )
        yield fleet


def _pick_zone(number: int) -> str:
    return workloads.ZONES[number % len(workloads.ZONES)]
