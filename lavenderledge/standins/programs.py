"""Programs that a launcher has started, and the addresses they tell."""

import asyncio
import signal
from collections import abc

_READY_PREFIX = 'ready '
READY_TIMEOUT_S = 30.0


class LaunchError(Exception):
    """A program ended before it was ready."""


class Program:
    """One running program and the addresses that it told."""

    def __init__(
        self,
        *,
        name: str,
        process: asyncio.subprocess.Process,
        addresses: abc.Mapping[str, str],
    ) -> None:
        """Take a process that is ready."""
        self.name = name
        self.process = process
        self.addresses = addresses

    @property
    def address(self) -> str:
        """Return the address of a stand-in."""
        return self.addresses['address']

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to a program that still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Ask the program to end gracefully."""
        self.send_signal(signal.SIGTERM)

    async def kill(self) -> None:
        """End the program at once; it keeps nothing that could be lost."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def read_addresses(
    name: str, process: asyncio.subprocess.Process
) -> dict[str, str]:
    """Return the addresses that a program tells once it is ready.

    Raises ``LaunchError`` where it ends first or takes too long.
    """
    assert process.stdout is not None
    try:
        line = await asyncio.wait_for(
            process.stdout.readline(), READY_TIMEOUT_S
        )
    except TimeoutError as error:
        process.kill()
        raise LaunchError(f'{name} was not ready in time') from error
    text = line.decode().strip()
    if not text.startswith(_READY_PREFIX):
        await process.wait()
        raise LaunchError(f'{name} ended with status {process.returncode}')
    pairs = text.removeprefix(_READY_PREFIX).split()
    return dict(pair.split('=', 1) for pair in pairs)
