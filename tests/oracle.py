"""Checks of callers' answers against the log of runs of the stand-ins."""

import collections
import contextlib
import json

from lavenderledge.standins import responses

UPSTREAMS = ('engine', 'orders', 'jobs')


class ReceivedResponse:
    """The events that a caller received for a model request."""

    def __init__(self, *, events):
        self.events = events
        self.sequence_numbers = [
            event['sequence_number']
            for event in events
            if 'sequence_number' in event
        ]
        self.text = ''.join(event.get('delta', '') for event in events)
        self.error = next(
            (event['error'] for event in events if 'error' in event), None
        )

    @property
    def response(self):
        """Return the complete response, or None if it was not completed."""
        last_event = self.events[-1] if self.events else {}
        if last_event.get('type') == 'response.completed':
            return last_event['response']
        return None


def read_event(line):
    return json.loads(line.removeprefix(b'data: '))


def parse_answer(answer):
    """Parse an answer, streamed or not."""
    if answer.headers['content-type'].startswith('text/event-stream'):
        lines = answer.body.encode().splitlines()
        return ReceivedResponse(
            events=[read_event(line) for line in lines if b'data: ' in line]
        )
    document = json.loads(answer.body)
    if answer.status != 200:
        return ReceivedResponse(events=[document])
    kind = f'response.{document.get("status")}'
    return ReceivedResponse(events=[{'type': kind, 'response': document}])


def check_complete(answer, tokens, *, caller=None):
    """Check that an answer is complete and belongs to its caller."""
    assert answer.status == 200, answer.body
    received = parse_answer(answer)
    assert received.response is not None, received.error
    response_id = received.response['id']
    text = responses.render_text(response_id, tokens)
    assert response_id.endswith(answer.request_id)
    assert received.response['output'][0]['content'][0]['text'] == text
    assert received.response['metadata'].get('caller') == caller
    if received.sequence_numbers:
        assert received.sequence_numbers == list(range(tokens + 2))
        assert received.text == text


def check_refused(answer, code, outcome):
    """Check the error of a request without a complete answer."""
    received = parse_answer(answer)
    error = received.error
    assert error is not None, answer.body
    assert received.sequence_numbers == list(
        range(len(received.sequence_numbers))
    )
    assert (error['code'], error['outcome']) == (code, outcome), answer.body
    assert error['request_id'] == answer.request_id


@contextlib.asynccontextmanager
async def open_stream(fleet, instance, *, tokens, headers=(), **fields):
    """Begin a streamed request; the test reads the response body."""
    address = fleet.programs[instance].addresses['listen']
    document = {
        'model': 'calculator',
        'input': 'lace',
        'stream': True,
        'metadata': {'output_tokens': tokens},
        **fields,
    }
    async with fleet.session.post(
        f'http://{address}/v1/responses',
        json=document,
        headers={
            'X-Customer': 'hub',
            'X-Request-Kind': 'plan',
            **dict(headers),
        },
    ) as response:
        yield response


async def read_events(response, *, until=None):
    """Read events to the end, or up to one with the number ``until``."""
    events = []
    async for line in response.content:
        if line.startswith(b'data: '):
            events.append(read_event(line))
            if events[-1].get('sequence_number') == until is not None:
                break
    return events


async def read_runs(fleet):
    """Return the record of each run, by request ID and upstream.

    Upstreams that were killed are left out.
    """
    records_by_request = collections.defaultdict(dict)
    for name, program in fleet.programs.items():
        if not name.startswith(UPSTREAMS):
            continue
        if program.process.returncode is not None:
            continue
        log = await fleet.read_json(name, '/standin/log')
        for record in log['records']:
            request_id = record.get('request_id') or record.get('id')
            assert request_id, f'{name} ran a request without an id: {record}'
            records_by_request[request_id.rpartition(':')[-1]][name] = record
    return records_by_request


async def count_calls(fleet, kind, *names):
    """Return how many calls of a kind the upstreams received in total."""
    counts = [await fleet.read_json(name, '/standin/counts') for name in names]
    return sum(count.get(kind, 0) for count in counts)


async def read_status(fleet, request_id):
    """Return the status of a model request in its engine, or None."""
    runs = (await read_runs(fleet)).get(request_id, {})
    return next((record['status'] for record in runs.values()), None)


async def audit(fleet):
    """Check every answer against the upstreams' logs."""
    runs = await read_runs(fleet)
    assert all(len(places) == 1 for places in runs.values())
    refused = 0
    for answer in fleet.answers:
        error = parse_answer(answer).error if 'code' in answer.body else None
        if error is not None and error['outcome'] == 'not_run':
            refused += 1
            assert error['request_id'] not in runs, error
    return refused
