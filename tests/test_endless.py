"""Replicas that send bytes without end until the other side closes."""

import pytest

from tests import platformfleet, rawreplica

# Limits of what is read, and the sockets' buffers on both sides.
MAX_SENT_BYTES = 16_000_000


def build_other_answer(request_id):
    return rawreplica.build_head(b'other') + b'x'


def build_error(request_id):
    return rawreplica.build_head(request_id, status=b'500 Failed')


def build_unsigned(request_id):
    return rawreplica.build_head(request_id, seal=False)


CASES = {
    'head field': (lambda _: b'HTTP/1.1 200 OK\r\nX-Filler: ', b'x'),
    'head fields': (lambda _: b'HTTP/1.1 200 OK\r\n', b'X-Filler: x\r\n'),
    'no head': (lambda _: b'', b'\x00x'),
    'informational': (lambda _: b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'other answer': (build_other_answer, b'x'),
    'error': (build_error, b'x'),
    'unsigned': (build_unsigned, b'x'),
}


@pytest.mark.parametrize('case', CASES)
@pytest.mark.parametrize('path', ['/once/x', '/stream/x'])
async def test_bytes_without_end_are_not_read_until_the_deadline(case, path):
    build, filler = CASES[case]
    replica = rawreplica.RawReplica(
        'i-9', build, ending='endless', filler=filler
    )
    async with platformfleet.running(replicas=0, instances=0) as fleet:
        await replica.start(fleet)
        await fleet.add_instance('entry-0')
        response = await fleet.send(path, deadline_ms=2500)
        replica.stop()
    assert response.status == 502
    assert replica.requests == 1
    assert replica.sent_bytes < MAX_SENT_BYTES
