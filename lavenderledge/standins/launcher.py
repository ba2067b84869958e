"""A launcher of stand-ins and instances for demo, tests and load runs."""

import asyncio
import base64
import contextlib
import os
import pathlib
import socket
import sys
import time
import typing
from collections import abc

import aiohttp

from lavenderledge.peers import keys
from lavenderledge.policy import table
from lavenderledge.standins import programs

_COMMAND_MODULE = 'lavenderledge'
_DAEMON_MODULE = 'lavenderledge.daemon'
_STANDIN_MODULE = 'lavenderledge.standins'
_POLL_S = 0.1
_HOST = '127.0.0.1'
_TABLE_KEY = b'lavenderledge/table'
_LOOP_CLOCK = time.monotonic


class CommandResult(typing.NamedTuple):
    """The exit status and output of a command."""

    status: int
    stdout: str
    stderr: str


class Upstream(typing.NamedTuple):
    """An upstream as it is added to the instance list."""

    name: str
    pool: str
    kind: str
    zone: str
    address: str


class Launcher:
    """Starts programs and adds them to the instance list."""

    def __init__(self, *, log_path: str | None = None) -> None:
        """Create a launcher; its programs append their logs to ``log_path``."""
        self.key_pair = keys.generate_pair()
        self.programs: dict[str, programs.Program] = {}
        self._session: aiohttp.ClientSession | None = None
        self._log: typing.IO[bytes] | int = asyncio.subprocess.DEVNULL
        self._files = contextlib.ExitStack()
        self._ports = contextlib.ExitStack()
        if log_path is not None:
            self._log = self._files.enter_context(
                pathlib.Path(log_path).open('ab')
            )

    async def __aenter__(self) -> typing.Self:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Kill every program and close the HTTP session."""
        await asyncio.gather(
            *(program.kill() for program in self.programs.values())
        )
        await self.session.close()
        self._ports.close()
        self._files.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session."""
        assert self._session is not None
        return self._session

    async def run_command(self, *words: str, stdin: str = '') -> CommandResult:
        """Run a ``lavenderledge`` command with this standard input."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            _COMMAND_MODULE,
            *words,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                'LAVENDERLEDGE_KEYVALUE': self.keyvalue_url,
                'LAVENDERLEDGE_INSTANCE_LIST': self.list_url,
            },
        )
        stdout, stderr = await process.communicate(stdin.encode())
        exit_status = process.returncode
        return CommandResult(exit_status or 0, stdout.decode(), stderr.decode())

    async def start_standin(
        self, kind: str, *flags: str, name: str | None = None
    ) -> programs.Program:
        """Start a stand-in on a free port, which is kept until the end."""
        host, port = self._reserve_port()
        return await self._start(
            name or kind,
            _STANDIN_MODULE,
            (kind, '--listen', f'{host}:{port}', *flags),
        )

    async def start_platform(self) -> None:
        """Start the key-value service and the instance list."""
        await asyncio.gather(
            self.start_standin('keyvalue'), self.start_standin('instancelist')
        )

    async def start_instance(
        self,
        name: str,
        *flags: str,
        zone: str = 'zone-a',
        published: bool = True,
    ) -> programs.Program:
        """Start an instance; add it to the instance list if ``published``."""
        program = await self._start(
            name,
            _DAEMON_MODULE,
            (
                f'--instance={name}',
                f'--availability-zone={zone}',
                '--listen=127.0.0.1:0',
                '--admin-listen=127.0.0.1:0',
                '--peer-listen=127.0.0.1:0',
                f'--keyvalue=http://{self.programs["keyvalue"].address}',
                f'--instance-list={self.list_url}',
                *flags,
            ),
        )
        if published:
            await self.publish_instance(program, zone=zone)
        return program

    @property
    def list_url(self) -> str:
        """Return the base URL of the instance list."""
        return f'http://{self.programs["instancelist"].address}'

    @property
    def keyvalue_url(self) -> str:
        """Return the base URL of the key-value service."""
        return f'http://{self.programs["keyvalue"].address}'

    async def put_table(self, *rows: table.Row) -> None:
        """Write an initial table with these rows to the key-value service."""
        stored = table.encode_table(table.Table(rows, edit_id='first'))
        document = {
            'key': base64.b64encode(_TABLE_KEY).decode(),
            'value': base64.b64encode(stored).decode(),
        }
        url = f'{self.keyvalue_url}/v3/kv/put'
        async with self.session.post(url, json=document) as response:
            response.raise_for_status()

    async def wait_until_ready(self, *names: str) -> None:
        """Wait until every instance is ready and all see each other alive.

        Raises ``programs.LaunchError`` after ``programs.READY_TIMEOUT_S``.
        """
        deadline_s = _LOOP_CLOCK() + programs.READY_TIMEOUT_S
        while not await self._is_ready(names):
            if _LOOP_CLOCK() > deadline_s:
                raise programs.LaunchError(
                    'instances not ready within '
                    f'{programs.READY_TIMEOUT_S:.0f} s: {", ".join(names)}'
                )
            await asyncio.sleep(_POLL_S)

    async def publish_instance(
        self,
        program: programs.Program,
        *,
        zone: str = 'zone-a',
        terminating: bool = False,
    ) -> None:
        """Add an instance to the instance list, or replace its entry."""
        ports = {
            'http': _read_port(program.addresses['listen']),
            'admin': _read_port(program.addresses['admin']),
            'peer': _read_port(program.addresses['peer']),
        }
        await self._put_endpoint(
            program.name, 'lavenderledge', 'instance', zone, ports, terminating
        )

    async def publish_upstream(
        self, upstream: Upstream, *, terminating: bool = False
    ) -> None:
        """Add an upstream to the instance list, or replace its entry."""
        await self._put_endpoint(
            upstream.name,
            upstream.pool,
            upstream.kind,
            upstream.zone,
            {'http': _read_port(upstream.address)},
            terminating,
        )

    async def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint from the instance list."""
        url = f'{self.list_url}/standin/endpoints/{name}'
        async with self.session.delete(url) as response:
            response.raise_for_status()

    async def start_engine(
        self, name: str, pool: str, *flags: str, zone: str = 'zone-a'
    ) -> programs.Program:
        """Start an engine and add it to the list as a replica of the pool."""
        program = await self.start_standin(
            'engine',
            f'--model={pool}',
            f'--replica={name}',
            *flags,
            name=name,
        )
        await self.publish_upstream(
            Upstream(name, pool, 'engine', zone, program.address)
        )
        return program

    async def start_service(
        self, name: str, pool: str, *flags: str, zone: str = 'zone-a'
    ) -> programs.Program:
        """Start a plain service and add it to the list as a replica."""
        program = await self.start_standin('plain', *flags, name=name)
        await self.publish_upstream(
            Upstream(name, pool, 'plain', zone, program.address)
        )
        return program

    async def set_switches(self, name: str, **switches: object) -> None:
        """Set switches of a stand-in."""
        url = f'http://{self.programs[name].address}/standin/switches'
        async with self.session.post(url, json=switches) as response:
            response.raise_for_status()

    async def read_json(self, name: str, path: str) -> typing.Any:
        """Read a JSON document from a stand-in or an instance's admin port."""
        addresses = self.programs[name].addresses
        address = addresses.get('admin') or addresses['address']
        async with self.session.get(f'http://{address}{path}') as response:
            return await response.json(content_type=None)

    def _reserve_port(self) -> tuple[str, int]:
        """Return a free address that no other program gets meanwhile.

        Instances call an upstream that has died; without the reservation their
        calls could reach a program of another launcher. A socket that is bound
        and does not listen refuses connections, and with ``SO_REUSEADDR`` the
        stand-in may bind the same address.
        """
        reserved = self._ports.enter_context(socket.socket())
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((_HOST, 0))
        return typing.cast(tuple[str, int], reserved.getsockname())

    async def _is_ready(self, names: abc.Iterable[str]) -> bool:
        statuses = await asyncio.gather(
            *(self.read_json(name, '/status') for name in names)
        )
        all_settled = all(
            status['ready'] and status['membership']['settled']
            for status in statuses
        )
        alive = {len(status['membership']['alive']) for status in statuses}
        return all_settled and alive == {len(statuses)}

    async def _put_endpoint(
        self,
        name: str,
        pool: str,
        kind: str,
        zone: str,
        ports: abc.Mapping[str, int],
        terminating: bool,
    ) -> None:
        url = f'{self.list_url}/standin/endpoints/{name}'
        document = {
            'pool': pool,
            'kind': kind,
            'zone': zone,
            'address': '127.0.0.1',
            'ports': dict(ports),
            'ready': not terminating,
            'terminating': terminating,
        }
        async with self.session.put(url, json=document) as response:
            response.raise_for_status()

    async def _start(
        self, name: str, module: str, flags: abc.Sequence[str]
    ) -> programs.Program:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *flags,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            env={
                **os.environ,
                'LAVENDERLEDGE_PEER_SECRET_KEY': self.key_pair.secret.decode(),
            },
        )
        program = programs.Program(name=name, process=process, addresses={})
        self.programs[name] = program
        program.addresses = await programs.read_addresses(name, process)
        return program


def _read_port(address: str) -> int:
    return int(address.rpartition(':')[-1])
