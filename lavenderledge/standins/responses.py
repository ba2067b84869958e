"""Response objects and stream events of the engine stand-in.

Event 0 reports that the response was created, event ``n`` carries token ``n``
and the event after the last token carries the complete response. Events are
rendered from the request's state, so none has to be stored.
"""

import typing

import msgspec

from lavenderledge.standins import batch

_ID_CHARACTERS = 8


class InputDetails(typing.TypedDict):
    """The number of cached tokens in a prompt."""

    cached_tokens: int


class Usage(typing.TypedDict):
    """The token counts of one response."""

    input_tokens: int
    input_tokens_details: InputDetails
    output_tokens: int
    total_tokens: int


class Content(typing.TypedDict):
    """The text of a response."""

    type: typing.Literal['output_text']
    text: str


class Message(typing.TypedDict):
    """The single message of a response."""

    type: typing.Literal['message']
    id: str
    status: str
    role: typing.Literal['assistant']
    content: list[Content]


class Response(typing.TypedDict):
    """The response object."""

    id: str
    object: typing.Literal['response']
    created_at: int
    status: str
    model: str
    output: list[Message]
    usage: Usage
    metadata: dict[str, typing.Any]


class ResponseEvent(typing.TypedDict):
    """A stream event that carries a response object."""

    type: str
    sequence_number: int
    response: Response


def render_token(response_id: str, number: int) -> str:
    """Return the text of one token; numbers start at 1."""
    if number == 1:
        return f'w1@{response_id[-_ID_CHARACTERS:]} '
    return f'w{number} '


def render_text(response_id: str, tokens: int) -> str:
    """Return the text of the first ``tokens`` tokens."""
    return ''.join(
        render_token(response_id, number) for number in range(1, tokens + 1)
    )


def render_delta(response_id: str, number: int) -> bytes:
    """Return the stream event of one token."""
    text = render_token(response_id, number)
    return (
        'event: response.output_text.delta\n'
        'data: {"type":"response.output_text.delta",'
        f'"sequence_number":{number},"item_id":"msg_{response_id}",'
        f'"output_index":0,"content_index":0,"delta":"{text}"}}\n\n'
    ).encode()


def render_event(name: str, number: int, response: Response) -> bytes:
    """Return a stream event that carries a response object."""
    body = msgspec.json.encode(
        ResponseEvent(type=name, sequence_number=number, response=response)
    )
    return b'event: %s\ndata: %s\n\n' % (name.encode(), body)


def name_status(status: batch.Status) -> str:
    """Return the status on the wire; orphaned reads as cancelled."""
    if status is batch.Status.ORPHANED:
        return batch.Status.CANCELLED.value
    return status.value
