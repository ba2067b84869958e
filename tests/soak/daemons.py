"""Daemon processes; only those started here are signalled."""

import asyncio
import os
import signal
import sys
import tempfile

from tests import platformfleet

# Pause between two checks whether a process listens.
CHECK_INTERVAL_S = 0.05


class Daemon:
    """An instance's process, its ports and its log."""

    def __init__(self, name, directory, *, store):
        self.name = name
        self.ports = [platformfleet.find_port() for _ in range(4)]
        self.paused = False
        self.process = None
        self._starting = None
        self._directory = directory
        self.store = store
        self._log = None
        self.log_path = os.path.join(directory, f'{name}.log')

    async def start_on_free_ports(self):
        """Start, with new ports until the process can listen."""
        while True:
            await self.start()
            while self.is_running and not await self._is_ready():
                await asyncio.sleep(CHECK_INTERVAL_S)
            if self.is_running:
                return
            self.ports = [platformfleet.find_port() for _ in range(4)]

    async def _is_ready(self):
        """Return whether the process has joined and says that it is ready.

        The log tells it from another process that answers at its port.
        """
        with open(self.log_path, encoding='utf-8') as lines:
            text = lines.read()
        started = text.find(f'listen=127.0.0.1:{self.ports[0]}')
        if started < 0 or 'event=instance_joined' not in text[started:]:
            return False
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[1]
        )
        writer.write(b'GET / HTTP/1.1\r\nHost: ready\r\n\r\n')
        status_line = await reader.readline()
        writer.close()
        return b' 200 ' in status_line

    async def start(self):
        """Start a process, unless one runs or another call is starting it.

        A process is known although its start is cancelled.
        """
        if self.is_running:
            return
        if self._starting is None or self._starting.done():
            self._starting = asyncio.create_task(self._start())
        await asyncio.shield(self._starting)

    async def _start(self):
        path = os.path.join(self._directory, f'{self.name}.env')
        names = ('LISTEN', 'READY_LISTEN', 'METRICS_LISTEN', 'PEER_LISTEN')
        lines = [
            f'LAVENDERLEDGE_{name}=127.0.0.1:{port}'
            for name, port in zip(names, self.ports, strict=True)
        ]
        lines += [
            f'LAVENDERLEDGE_INSTANCE={self.name}',
            'LAVENDERLEDGE_AVAILABILITY_ZONE=a',
            f'LAVENDERLEDGE_STORE={self.store}',
            'LAVENDERLEDGE_STOP_GRACE_S=6',
            'LAVENDERLEDGE_RETRY_SLACK=500',
        ]
        with open(path, 'w', encoding='utf-8') as file:
            file.write('\n'.join(lines))
        self._log = open(self.log_path, 'ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'lavenderledge.platform',
            env={**os.environ, 'LAVENDERLEDGE_NODE_FILE': path},
            stdout=self._log,
            stderr=self._log,
        )
        self.paused = False

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def pause(self):
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.signal(signal.SIGCONT)

    async def kill(self):
        """Kill the process, wait for its exit and close the log."""
        if self._starting is not None:
            await asyncio.wait([self._starting])
        if self.is_running:
            self.resume()
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if self._log is not None:
            self._log.close()


def make_directory():
    return tempfile.TemporaryDirectory(prefix='soak-')
