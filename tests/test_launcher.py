"""The launcher of stand-ins and instances."""

import asyncio
import errno
import socket

import pytest

from lavenderledge.standins import launcher


async def test_a_dead_stand_ins_port_is_not_given_to_another_program():
    """Instances still call it, and reach nobody."""
    async with launcher.Launcher() as running:
        program = await running.start_standin('plain')
        await program.kill()
        host, _, port = program.address.rpartition(':')
        with socket.socket() as other, pytest.raises(OSError) as refusal:
            other.bind((host, int(port)))
        assert refusal.value.errno == errno.EADDRINUSE
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
