"""One request of the engine stand-in, from its arrival to its end."""

import asyncio
import typing

from lavenderledge.standins import responses, batch, requestbody, prefixcache


class RequestRecord(typing.NamedTuple):
    """A request's state in the log; its last record is its present state.

    Times are in seconds: the wall clock's, and of the engine process's
    monotonic clock where the name says so. Absent times have not come.
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
    """One connection that takes a request's answer."""

    def __init__(self, *, silent: bool = False) -> None:
        """Start open; a silent one delivers nothing, for good."""
        self.silent = silent
        self.cut = False
        self.closed = False
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Let the connection look for something to do."""
        self._wake.set()

    def close(self) -> None:
        """Record that the connection is gone."""
        self.closed = True
        self._wake.set()

    async def wait(self) -> None:
        """Return when there may be something to do."""
        await self._wake.wait()
        self._wake.clear()


class Generation:
    """One request: its sequence in the batch and who listens."""

    def __init__(
        self,
        *,
        response_id: str,
        body: requestbody.CreateRequest,
        received_s: float,
        received_monotonic_s: float,
        block_tokens: int = prefixcache.BLOCK_TOKENS,
    ) -> None:
        """Start queued."""
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
        """Return the request's metadata as it came."""
        return self.body.get('metadata') or {}

    @property
    def last_event(self) -> int:
        """Return the number of the newest event."""
        return self.sequence.produced_tokens + self.sequence.ended

    def wake(self) -> None:
        """Wake every connection that listens."""
        for listener in self.listeners:
            listener.wake()

    def render(self, number: int) -> bytes:
        """Return one event that has happened."""
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
        """Return the response object as it is now."""
        return self._build(
            self.sequence.produced_tokens,
            responses.name_status(self.sequence.status),
        )

    def build_record(self) -> RequestRecord:
        """Return the request's present state for the log."""
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
