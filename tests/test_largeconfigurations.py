"""Configurations that take long to read on links of little bandwidth."""

import asyncio
import contextlib

import pytest

from lavenderledge.http1 import messages
from lavenderledge.platform import store
from lavenderledge.registry import store as stores
from tests import platformfleet

# The bounds of the grown deployments: a version is in force this long after its
# acknowledgement, and one change may add this many routes.
APPLY_S = 3.0
ADDED_ROUTES = 1400


def make_large_configuration(version, **changes):
    """Return a configuration with the added routes."""
    base = platformfleet.make_configuration(version, **changes)
    added = [
        platformfleet.make_route(f'added-{number}', 'safe')
        for number in range(ADDED_ROUTES)
    ]
    return {**base, 'routes': base['routes'] + added}


async def wait_for_status(fleet, instance, path, status, *, within_s):
    """Fail unless requests get a status within a time."""
    async with asyncio.timeout(within_s):
        while True:
            response = await fleet.send(path, instance=instance, method=b'GET')
            if response.status == status:
                return
            await asyncio.sleep(0.05)


@pytest.mark.parametrize('bytes_per_s', [300_000, 625_000])
async def test_a_configuration_that_takes_over_a_second_to_read_is_applied(
    bytes_per_s,
):
    async with platformfleet.running(instances=0) as fleet:
        link = await fleet.add_store_link('entry-0', bytes_per_s=bytes_per_s)
        await fleet.add_instance('entry-0', store=link, apply_ms=3000)
        fleet.store.write('op/config', make_large_configuration(2))
        await wait_for_status(
            fleet, 'entry-0', '/added-0/x', messages.OK, within_s=APPLY_S
        )


@contextlib.asynccontextmanager
async def serving_answers(pauses_s):
    """Serve an answer part by part, with these pauses; yield a client."""
    serving = set()

    async def serve(reader, writer):
        serving.add(asyncio.current_task())
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n')
            for pause_s in pauses_s:
                writer.write(b' ' * 100)
                await writer.drain()
                await asyncio.sleep(pause_s)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        yield store.PlatformStore(
            address=f'127.0.0.1:{port}', pool=platformfleet.make_pool()
        )
        for task in serving:
            task.cancel()
        await asyncio.gather(*serving, return_exceptions=True)


@pytest.mark.parametrize(
    'pauses_s', [[30.0], [0.2] * 150], ids=['stops', 'never-ends']
)
async def test_an_answer_that_stops_or_never_ends_is_given_up(
    pauses_s, monkeypatch
):
    monkeypatch.setattr(store, '_TRANSFER_TIMEOUT_S', 2.0)
    async with serving_answers(pauses_s) as client, asyncio.timeout(4):
        listed = await client.list_keys('op/config')
    assert listed.error.fault is stores.Fault.UNREACHABLE
