"""Streams that pause: a stalled one goes on elsewhere, a slow one is kept."""

import pytest

from tests import platformfleet, platformreplica

EXPECTED = b''.join(
    f'id: {number}\ndata: {number}\n\n'.encode() for number in range(1, 7)
)


@pytest.mark.parametrize('action', sorted(platformreplica.TRICKLES))
async def test_a_stalled_stream_that_still_sends_bytes_goes_on_elsewhere(
    action,
):
    async with platformfleet.running(replicas=2) as fleet:
        stalled = fleet.replicas['i-0']
        stalled.default_action = action
        responses = [await fleet.send('/stream/resumable/x') for _ in range(3)]
    assert stalled.runs
    assert all(response.is_complete for response in responses)
    for response in responses:
        events = response.body.replace(b': \n\n', b'')
        assert events == EXPECTED


async def test_a_slow_but_sound_stream_is_not_moved():
    """Its callers wait for six seconds, and it pauses for 1.8 s."""
    route = platformfleet.make_route(
        'stream/slow',
        'streaming',
        resumable=True,
        slo_ms=1500,
        timeout_ms=20000,
    )
    async with platformfleet.running(replicas=2, routes=[route]) as fleet:
        for replica in fleet.replicas.values():
            replica.events = 3
            replica.event_gap_s = 1.8
        response = await fleet.send('/stream/slow/x', deadline_ms=20000)
        runs = fleet.list_runs()
    assert response.is_complete
    assert len(runs) == 1


@pytest.mark.parametrize(('count', 'failure'), [(1, 'deadline'), (2, 'silent')])
async def test_the_log_tells_a_deadline_from_a_silence(count, failure, caplog):
    """A second replica goes on with the stream of a silent one."""
    caplog.set_level('INFO')
    route = platformfleet.make_route(
        'stream/short', 'streaming', resumable=True, timeout_ms=2000
    )
    async with platformfleet.running(replicas=count, routes=[route]) as fleet:
        fleet.replicas['i-0'].event_gap_s = 3
        responses = [
            await fleet.send('/stream/short/x', deadline_ms=2000)
            for _ in range(3)
        ]
        assert fleet.replicas['i-0'].runs
    assert [response.status for response in responses] == [200] * 3
    failed = [
        record.fields
        for record in caplog.records
        if record.getMessage() == 'request' and record.fields['failure']
    ]
    assert {fields['failure'] for fields in failed} == {failure}
    if failure == 'deadline':
        assert all(0 < fields['progress_ms'] < 1000 for fields in failed)
    assert all(1000 < fields['total_ms'] for fields in failed)
