"""Heads of a service's answers that can't be sent to a caller."""

import asyncio

import pytest
import pytest_asyncio

from lavenderledge.policy import table
from lavenderledge.standins import launcher
from tests import oracle, processes

pytestmark = pytest.mark.asyncio(loop_scope='module')

ROWS = (*processes.ROWS, table.Row('odd', '*', 'odd', '*', 1, timeout_s=9))
BODY = b'Content-Length: 2\r\n\r\nok'
OK = b'HTTP/1.1 200 OK\r\n'
INVALID = {
    'control character': OK + b'X-A: a\x01b\r\n' + BODY,
    'delete character': OK + b'X-A: a\x7fb\r\n' + BODY,
    'unknown status': b'HTTP/1.1 999 X\r\n' + BODY,
    'status below 100': b'HTTP/1.1 099 X\r\n' + BODY,
    'other protocol': b'HTTP/1.1 101 Switching Protocols\r\n'
    b'Connection: upgrade\r\nUpgrade: x\r\n\r\nforeign',
}
VALUES = {'latin-1': b'caf\xe9 \xff', 'UTF-8': '\u00e9 \u20ac'.encode()}


class Service:
    """Answers each request with the same bytes."""

    def __init__(self):
        self.answer = b''

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.answer)
        await writer.drain()
        writer.close()


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet():
    async with processes.run_fleet(
        rows=ROWS, instances=1, engines=1
    ) as running:
        yield running


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def service(fleet):
    odd = Service()
    listening = await asyncio.start_server(odd.serve, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    await fleet.publish_upstream(
        launcher.Upstream('odd-0', 'odd', 'plain', 'a', f'{host}:{port}')
    )
    yield odd
    listening.close()


@pytest.mark.parametrize('head', INVALID)
async def test_an_invalid_head_is_refused(fleet, service, head):
    service.answer = INVALID[head]
    answer = await fleet.call('entry-0', 'GET', '/services/odd/x')
    assert answer.status == 504
    oracle.check_refused(answer, 'upstream_lost', 'unknown')


@pytest.mark.parametrize('value', VALUES)
async def test_a_header_keeps_its_bytes(fleet, service, value):
    service.answer = OK + b'X-A: ' + VALUES[value] + b'\r\n' + BODY
    address = fleet.programs['entry-0'].addresses['listen']
    async with fleet.session.get(
        f'http://{address}/services/odd/x', headers={'X-Customer': 'hub'}
    ) as response:
        assert response.status == 200
        assert (b'x-a', VALUES[value]) in response.raw_headers
