"""Bytes in a stream that no run made: none of them reaches a caller.

A replica sends events, and in place of the next one something else.
"""

import itertools
import typing

import pytest

from tests import singleinstance, test_brokenanswers

EVENTS = tuple(
    b'id: %d\ndata: %d\n\n' % (number, number) for number in range(1, 5)
)
STREAM = b''.join(EVENTS)
HEAD = b'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n'
HIGH_BYTES = bytes(range(128, 256))
# What stands in place of the event after ``N - 1`` others.
GARBAGE = {
    'high bytes': lambda number: HIGH_BYTES,
    'high bytes, blank line': lambda number: HIGH_BYTES + b'\n\n',
    'blank line, high bytes': lambda number: b'\n\n' + HIGH_BYTES,
    'high bytes around': lambda number: HIGH_BYTES + b'\n\n' + HIGH_BYTES,
    'zeros': lambda number: bytes(64) + b'\n\n',
    'no id': lambda number: b'data: x\n\n',
    'empty id': lambda number: b'id:\ndata: x\n\n',
    'no colon': lambda number: b'id\ndata: x\n\n',
    'same id': lambda number: b'id: %d\ndata: x\n\n' % max(number - 1, 0),
    'lower id': lambda number: b'id: 0\ndata: x\n\n',
    'negative id': lambda number: b'id: -%d\ndata: x\n\n' % number,
    'no number': lambda number: b'id: x%d\ndata: x\n\n' % number,
    'digits of another script': lambda number: (
        'id: \u0664\ndata: x\n\n'.encode()
    ),
    'two ids': lambda number: b'id: %d\nid: 9\ndata: x\n\n' % number,
    'no data': lambda number: b'id: %d\n\n' % number,
    'head': lambda number: HEAD,
    'head before an event': lambda number: HEAD[:-2] + EVENTS[number - 1],
    'line before an event': lambda number: b'x' + EVENTS[number - 1],
    'event with high bytes': lambda number: (
        b'id: %d\ndata: %b\n\n' % (number, HIGH_BYTES)
    ),
    'event with a carriage return': lambda number: (
        b'id: %d\ndata: x\rid: 9\n\n' % number
    ),
    'comments': lambda number: b': \x00\n\n' + HIGH_BYTES + b'\n\n',
    'carriage returns': lambda number: b'\r\r\n\r\n',
    'carriage returns at the end': lambda number: b'\n\n\r\r',
    'too many lines': lambda number: (
        b'id: %d\n%b\n' % (number, b'data:\n' * 100_000)
    ),
    'half an event': lambda number: EVENTS[number - 1][:8],
}
# No id is too low for a first event.
LATER_GARBAGE = {'same id', 'lower id'}
PATHS = ('/stream/x', '/stream/resumable/x')
FRAMINGS = ('length', 'chunked', 'none')
ENDINGS = ('close', 'reset', 'half_close')


class Case(typing.NamedTuple):
    """Garbage after ``sent`` events; without ``is_whole``, the end is cut."""

    garbage: str
    sent: int
    framing: str
    ending: str
    is_whole: bool


def list_cases(garbage):
    sent = (2,) if garbage in LATER_GARBAGE else (0, 2)
    return [
        Case(garbage, *rest)
        for rest in itertools.product(sent, FRAMINGS, ENDINGS, (True, False))
    ]


def answer_garbage(case, request_id, last_event_id):
    pieces = [
        *EVENTS[last_event_id : case.sent],
        GARBAGE[case.garbage](case.sent + 1),
    ]
    if not case.is_whole and case.framing == 'length':
        pieces.append(EVENTS[-1])
    data = b''.join(
        test_brokenanswers.build_answer(request_id, case.framing, pieces)
    )
    if case.is_whole or case.framing == 'none':
        return singleinstance.Answer(data, case.ending)
    end = len(EVENTS[-1]) if case.framing == 'length' else len(b'0\r\n\r\n')
    return singleinstance.Answer(data[:-end], case.ending)


def answer_whole(request_id, last_event_id):
    pieces = EVENTS[last_event_id:]
    return singleinstance.Answer(
        b''.join(test_brokenanswers.build_answer(request_id, 'length', pieces)),
        'close',
    )


async def receive(case, path, *others):
    """Return what a caller receives, and the last ids asked of others."""

    def build(request_id, last_event_id, number):
        return answer_garbage(case, request_id, last_event_id)

    async with singleinstance.running(
        singleinstance.Replica(build), *others
    ) as instance:
        received = await test_brokenanswers.send(instance, path)
    heads = [head for other in others for head in other.heads]
    return received, [find_last_id(head) for head in heads]


def find_last_id(head):
    fields = dict(
        line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:] if line
    )
    return fields.get(b'last-event-id')


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('garbage', GARBAGE)
async def test_what_no_run_made_never_reaches_a_caller(garbage, path):
    for case in list_cases(garbage):
        received, _ = await receive(case, path)
        if case.sent:
            assert received.body == b''.join(EVENTS[: case.sent]), case
            assert (received.status, received.is_complete) == (200, False), case
        else:
            assert (received.status, received.body) == (502, b''), case


@pytest.mark.parametrize('garbage', GARBAGE)
async def test_a_further_run_goes_on_after_the_last_event_of_a_run(garbage):
    for case in list_cases(garbage):
        other = singleinstance.Replica(
            lambda request_id, last_event_id, number: answer_whole(
                request_id, last_event_id
            )
        )
        received, last_ids = await receive(case, PATHS[1], other)
        assert (received.body, received.is_complete) == (STREAM, True), case
        assert last_ids == [b'%d' % case.sent if case.sent else None], case


@pytest.mark.parametrize('garbage', sorted(set(GARBAGE) - {'half an event'}))
async def test_a_connection_that_carried_garbage_is_not_used_again(garbage):
    numbers = []

    def build(request_id, last_event_id, number):
        numbers.append(number)
        case = Case(garbage, 2, 'length', 'keep', is_whole=True)
        return answer_garbage(case, request_id, last_event_id)

    async with singleinstance.running(
        singleinstance.Replica(build)
    ) as instance:
        for _ in range(2):
            await test_brokenanswers.send(instance, PATHS[0])
    assert numbers == [0, 0]


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('framing', FRAMINGS)
async def test_events_of_any_sound_form_are_passed_on(framing, path):
    comments = b': a comment\n\n\r\n: another\r\n\r\n'
    pieces = (
        comments,
        b'id: 1\ndata: 1\n\n',
        b'id:5\r\nevent: token\r\ndata: a\r\ndata: \xc3\xa4\r\n\r\n',
        b'\n\r\n',
        b'weight-versions: 7\nid: 6\nretry: 10\ndata\n\n',
        comments,
        b'data: before its id\nid: 100\n\n',
        b'\r\n',
        comments,
    )

    def build(request_id, last_event_id, number):
        return singleinstance.Answer(
            b''.join(
                test_brokenanswers.build_answer(request_id, framing, pieces)
            ),
            'close',
        )

    async with singleinstance.running(
        singleinstance.Replica(build)
    ) as instance:
        received = await test_brokenanswers.send(instance, path)
    expected = b''.join(piece for piece in pieces if b'id' in piece)
    assert (received.body, received.is_complete) == (expected, True)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('body', [b'', b'\n\n', b': a comment\n\n'])
async def test_a_stream_without_an_event_never_looks_complete(
    body, framing, path
):
    def build(request_id, last_event_id, number):
        return singleinstance.Answer(
            b''.join(
                test_brokenanswers.build_answer(request_id, framing, [body])
                if body
                else test_brokenanswers.build_answer(request_id, framing, [])
            ),
            'close',
        )

    async with singleinstance.running(
        singleinstance.Replica(build)
    ) as instance:
        received = await test_brokenanswers.send(instance, path)
    assert not (received.status == 200 and received.is_complete)


async def test_the_last_id_of_a_caller_is_forwarded_byte_by_byte():
    replica = singleinstance.Replica(None)
    async with singleinstance.running(replica) as instance:
        reader, writer = await instance.connect()
        field = b'Last-Event-Id: \xe4'
        request = singleinstance.build_request(PATHS[1])
        writer.write(request.replace(b'\r\n', b'\r\n' + field + b'\r\n', 1))
        await singleinstance.receive(reader)
        writer.close()
    assert field in replica.heads[0].split(b'\r\n')
