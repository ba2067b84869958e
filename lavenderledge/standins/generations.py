"""One request of the engine stand-in and its connections."""

import asyncio
import typing

from lavenderledge.standins import batch, prefixcache, requestbody, responses


class RequestRecord(typing.NamedTuple):
    """A request's state in the log; the last record is the current one.

    Times are in seconds, of the wall clock or, where the name says so, of
    the engine process's monotonic clock. A time is ``None`` until its event.
    """

    kind: typing.Literal['request']
    id: str
    status: str
    received_s: float
    received_monotonic_s: float
    started_s: float | None
    first_token_s: float | None
    finished_s: float | None
    prompt_tokens: int
    cached_tokens: int
    prefill_tokens: int
    wasted_prefill_tokens: int
    wanted_tokens: int
    tokens: int
    streamed: bool
    metadata: dict[str, typing.Any]


class Listener:
    """One connection that receives a request's response."""

    def __init__(self, *, silent: bool = False) -> None:
        """Create an open connection; a silent one never delivers anything."""
        self.silent = silent
        self.cut = False
        self.closed = False
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Wake the connection's task to check for events and faults."""
        self._wake.set()

    def close(self) -> None:
        """Mark the connection as closed and wake its task."""
        self.closed = True
        self._wake.set()

    async def wait(self) -> None:
        """Wait until the next call of ``wake`` or ``close``."""
        await self._wake.wait()
        self._wake.clear()


class Generation:
    """One request: its sequence in the batch and its connections."""

    def __init__(
        self,
        *,
        response_id: str,
        body: requestbody.CreateRequest,
        received_s: float,
        received_monotonic_s: float,
        block_tokens: int = prefixcache.BLOCK_TOKENS,
    ) -> None:
        """Create a queued request."""
        prompt = requestbody.render_prompt(body)
        self.id = response_id
        self.body = body
        self.received_s = received_s
        self.received_monotonic_s = received_monotonic_s
        self.started_s: float | None = None
        self.first_token_s: float | None = None
        self.finished_s: float | None = None
        self.listeners: set[Listener] = set()
        self.sequence = batch.Sequence(
            digests=prefixcache.digest_blocks(
                prompt, block_tokens=block_tokens
            ),
            prompt_tokens=prefixcache.count_tokens(prompt),
            target_tokens=requestbody.count_output_tokens(body),
        )

    @property
    def metadata(self) -> dict[str, typing.Any]:
        """Return the metadata in the request body."""
        return self.body.get('metadata') or {}

    @property
    def last_event(self) -> int:
        """Return the number of the latest event."""
        return self.sequence.produced_tokens + self.sequence.ended

    def wake(self) -> None:
        """Wake every connection of the request."""
        for listener in self.listeners:
            listener.wake()

    def render(self, number: int) -> bytes:
        """Return the stream event of this number, at most ``last_event``."""
        if number == 0:
            return responses.render_event(
                'response.created', 0, self._build(0, 'in_progress')
            )
        if number <= self.sequence.produced_tokens:
            return responses.render_delta(self.id, number)
        status = responses.name_status(self.sequence.status)
        return responses.render_event(
            f'response.{status}', number, self.build_response()
        )

    def build_response(self) -> responses.Response:
        """Return the current response object."""
        return self._build(
            self.sequence.produced_tokens,
            responses.name_status(self.sequence.status),
        )

    def build_record(self) -> RequestRecord:
        """Return the request's current state for the log."""
        sequence = self.sequence
        wasted = sequence.ended and (
            sequence.status is not batch.Status.COMPLETED
        )
        return RequestRecord(
            kind='request',
            id=self.id,
            status=sequence.status.value,
            received_s=self.received_s,
            received_monotonic_s=self.received_monotonic_s,
            started_s=self.started_s,
            first_token_s=self.first_token_s,
            finished_s=self.finished_s,
            prompt_tokens=sequence.prompt_tokens,
            cached_tokens=sequence.cached_tokens,
            prefill_tokens=sequence.prefilled_tokens,
            wasted_prefill_tokens=sequence.prefilled_tokens if wasted else 0,
            wanted_tokens=sequence.target_tokens,
            tokens=sequence.produced_tokens,
            streamed=self.body.get('stream', False),
            metadata=self.metadata,
        )

    def _build(self, tokens: int, status: str) -> responses.Response:
        return {
            'id': self.id,
            'object': 'response',
            'created_at': int(self.received_s),
            'status': status,
            'model': self.body['model'],
            'output': self._build_output(tokens, status),
            'usage': {
                'input_tokens': self.sequence.prompt_tokens,
                'input_tokens_details': {
                    'cached_tokens': self.sequence.cached_tokens
                },
                'output_tokens': tokens,
                'total_tokens': self.sequence.prompt_tokens + tokens,
            },
            'metadata': self.metadata,
        }

    def _build_output(
        self, tokens: int, status: str
    ) -> list[responses.Message]:
        if not tokens:
            return []
        text = responses.render_text(self.id, tokens)
        return [
            {
                'type': 'message',
                'id': f'msg_{self.id}',
                'status': status,
                'role': 'assistant',
                'content': [{'type': 'output_text', 'text': text}],
            }
        ]
