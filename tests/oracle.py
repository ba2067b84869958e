"""What callers were told, held against what the stand-ins logged as run."""

import collections
import contextlib
import json

from lavenderledge.standins import responses

UPSTREAMS = ('engine', 'orders', 'jobs')


class ReceivedResponse:
    """What a caller knows of a model request at its end."""

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
        """Return the whole response, None where it was not completed."""
        last = self.events[-1] if self.events else {}
        if last.get('type') == 'response.completed':
            return last['response']
        return None


def read_event(line):
    return json.loads(line.removeprefix(b'data: '))


def parse_answer(answer):
    """Read an answer in either form."""
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
    """Check that an answer is whole, and its own caller's."""
    assert answer.status == 200, answer.body
    told = parse_answer(answer)
    assert told.response is not None, told.error
    response_id = told.response['id']
    text = responses.render_text(response_id, tokens)
    assert response_id.endswith(answer.request_id)
    assert told.response['output'][0]['content'][0]['text'] == text
    assert told.response['metadata'].get('caller') == caller
    if told.sequence_numbers:
        assert told.sequence_numbers == list(range(tokens + 2))
        assert told.text == text


def check_refused(answer, code, outcome):
    """Check how a request without its whole answer was told so."""
    told = parse_answer(answer)
    error = told.error
    assert error is not None, answer.body
    assert told.sequence_numbers == list(range(len(told.sequence_numbers)))
    assert (error['code'], error['outcome']) == (code, outcome), answer.body
    assert error['request_id'] == answer.request_id


@contextlib.asynccontextmanager
async def open_stream(fleet, instance, *, tokens, headers=(), **fields):
    """Begin a streamed request; its body is read as the test likes."""
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
    """Return the state of everything that ran, by request id and upstream.

    Upstreams that were killed are left out.
    """
    found = collections.defaultdict(dict)
    for name, program in fleet.programs.items():
        if not name.startswith(UPSTREAMS):
            continue
        if program.process.returncode is not None:
            continue
        log = await fleet.read_json(name, '/standin/log')
        for record in log['records']:
            request_id = record.get('request_id') or record['id']
            found[request_id.rpartition(':')[-1]][name] = record
    return found


async def count_calls(fleet, what, *names):
    """Return how many calls of a kind came to the upstreams in all."""
    counts = [await fleet.read_json(name, '/standin/counts') for name in names]
    return sum(count.get(what, 0) for count in counts)


async def read_status(fleet, request_id):
    """Return the state of a model request in its engine, None if absent."""
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
