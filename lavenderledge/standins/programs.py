"""Programs started by a launcher and the addresses they report."""

import asyncio
import signal
from collections import abc

_READY_PREFIX = 'ready '
READY_TIMEOUT_S = 30.0


class LaunchError(Exception):
    """A program exited, or was not ready in time."""


class Program:
    """One running program and the addresses that it reported."""

    def __init__(
        self,
        *,
        name: str,
        process: asyncio.subprocess.Process,
        addresses: abc.Mapping[str, str],
    ) -> None:
        """Wrap a process that is ready."""
        self.name = name
        self.process = process
        self.addresses = addresses

    @property
    def address(self) -> str:
        """Return the HOST:PORT of a stand-in."""
        return self.addresses['address']

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program if it is still running."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    async def kill(self) -> None:
        """Kill the program and wait for its exit; it has no state to save."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def read_addresses(
    name: str, process: asyncio.subprocess.Process
) -> dict[str, str]:
    """Return the addresses that a program reports when it is ready.

    Raises ``LaunchError`` if it exits first or ``READY_TIMEOUT_S`` passes.
    """
    assert process.stdout is not None
    try:
        line = await asyncio.wait_for(
            process.stdout.readline(), READY_TIMEOUT_S
        )
    except TimeoutError as error:
        process.kill()
        raise LaunchError(
            f'{name} was not ready within {READY_TIMEOUT_S:.0f} s'
        ) from error
    text = line.decode().strip()
    if not text.startswith(_READY_PREFIX):
        await process.wait()
        raise LaunchError(
            f'{name} exited with status {process.returncode} '
            'before it was ready'
        )
    pairs = text.removeprefix(_READY_PREFIX).split()
    return dict(pair.split('=', 1) for pair in pairs)
