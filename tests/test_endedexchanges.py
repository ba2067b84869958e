"""What a request held is released when it has ended, without the collector."""

import asyncio
import gc

import pytest

from lavenderledge.http1 import server
from lavenderledge.proxy import attempts, exchange
from tests import platformfleet, platformreplica

PATHS = ['/safe/x', '/once/x', '/stream/x', '/stream/resumable/x']
ACTIONS = [
    'ok',
    'error',
    'full',
    'absent',
    'reset',
    'early',
    'cut',
    'unsigned',
    'promise',
    'twice',
    'comments',
    'hang',
    platformreplica.Pause(2, 1.4),
]
BODY = bytes(3000)
REQUESTS = 3
RELEASE_S = 5


def list_held():
    """Return what is alive of requests."""
    return [
        held
        for held in gc.get_objects()
        if isinstance(held, (exchange.Exchange, attempts.Attempt))
    ]


@pytest.fixture(name='count_alive')
def _count_alive():
    """Return a function that counts what a test's requests still hold."""
    gc.collect()
    gc.disable()
    # Of tests that have failed.
    former = list_held()
    yield lambda: len(list_held()) - len(former)
    gc.enable()


async def wait_for_release(count_alive):
    """Wait until nothing is alive; a cycle would be for ever."""
    async with asyncio.timeout(RELEASE_S):
        await platformfleet.wait_until(lambda: count_alive() == 0)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('action', ACTIONS)
async def test_an_ended_request_holds_nothing(path, action, count_alive):
    """Reference cycles kept bodies until a rare collection."""
    async with platformfleet.running(replicas=2) as fleet:
        for replica in fleet.replicas.values():
            replica.default_action = action
        for number in range(REQUESTS):
            await fleet.send(path, body=BODY, deadline_ms=600)
        await wait_for_release(count_alive)


@pytest.mark.parametrize('path', ['/nowhere/x', '/once/x'])
async def test_a_refused_request_holds_nothing(path, count_alive):
    async with platformfleet.running(replicas=1) as fleet:
        await fleet.send(path, body=BODY, key='unknown')
        await wait_for_release(count_alive)


@pytest.mark.parametrize('path', PATHS)
async def test_a_request_whose_caller_left_holds_nothing(path, count_alive):
    async with platformfleet.running(replicas=1) as fleet:
        fleet.replicas['i-0'].default_action = 'hang'
        _, connection = await fleet.begin(path, body=BODY)
        await platformfleet.wait_until(fleet.list_runs)
        connection.abort()
        await wait_for_release(count_alive)


@pytest.mark.parametrize('path', PATHS)
async def test_a_kept_connection_holds_nothing_of_its_last_request(
    path, count_alive
):
    async with platformfleet.running(replicas=1) as fleet:
        response, connection = await fleet.begin(path, body=BODY)
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        await wait_for_release(count_alive)
        is_open = connection.is_open
    assert is_open


async def test_an_upload_whose_caller_left_holds_nothing(count_alive):
    """A request runs, another one waits, and a third is read in part."""
    async with platformfleet.running(replicas=1) as fleet:
        fleet.replicas['i-0'].default_action = 'hang'
        head = (
            b'POST /once/x HTTP/1.1\r\nHost: shop.example\r\n'
            b'Attempt-Id: %d\r\nDeadline-Ms: 3000\r\n'
            b'Authorization: Bearer key-of-dealer\r\n'
            b'Content-Length: 3000\r\n\r\n'
        )
        whole = [head % number + BODY for number in (1, 2, 3)]
        cut = b''.join(whole)[:-1000]
        for data in (cut, whole[0][:-1000]):
            _, connection = await fleet.begin_raw(data)
            await asyncio.sleep(0.1)
            connection.abort()
        listener = fleet.instances['entry-0']._caller_listener
        await platformfleet.wait_until(lambda: not listener.connections)
        await wait_for_release(count_alive)
        held = [
            len(left._body) + len(left._pending) + len(left._received)
            for left in gc.get_objects()
            if isinstance(left, server.Connection) and left._transport is None
        ]
    assert sum(held) == 0
