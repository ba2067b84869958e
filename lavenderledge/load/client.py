"""Sends one request and reads its response to the end."""

import asyncio
import typing

import aiohttp

from lavenderledge import clock as clocks
from lavenderledge.load import checker, traces

_TIMEOUT_GRACE_S = 10
_OK = 200
_CHUNK_BYTES = 65_536


class Result(typing.NamedTuple):
    """The outcome of one request; times in seconds from the trace's start.

    ``sent_s`` is when the request was sent, which is after its scheduled
    time if the tool was late. ``first_s`` is when the first token arrived,
    or None. ``ended_s`` is when the response ended or the client gave up.
    ``reason`` is the refusal's code or the client's failure.
    """

    arrival: traces.Arrival
    sent_s: float
    first_s: float | None
    ended_s: float
    tokens: int
    complete: bool
    fault: str
    reason: str
    outcome: str


class Caller:
    """Sends the requests of one trace."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        clock: clocks.Clock,
        seed: int,
        model: str,
        started_s: float,
    ) -> None:
        """Measure times from ``started_s`` on the monotonic clock."""
        self._session = session
        self._clock = clock
        self._seed = seed
        self._model = model
        self._started_s = started_s

    def read_elapsed_s(self) -> float:
        """Return the seconds since the trace's start."""
        return self._clock.read_monotonic() - self._started_s

    async def call(self, arrival: traces.Arrival, address: str) -> Result:
        """Send one request to an address and return its result."""
        stream_check = checker.Checker(
            request=str(arrival.number), output_tokens=arrival.output_tokens
        )
        progress = _ResponseProgress(stream_check)
        sent_s = self.read_elapsed_s()
        failure = ''
        try:
            async with asyncio.timeout(arrival.timeout_s + _TIMEOUT_GRACE_S):
                await self._exchange(arrival, address, progress)
        except TimeoutError:
            failure = 'client_timeout'
        except (aiohttp.ClientError, OSError):
            failure = 'client_connection'
        refusal = stream_check.refusal
        return Result(
            arrival=arrival,
            sent_s=sent_s,
            first_s=progress.first_s,
            ended_s=self.read_elapsed_s(),
            tokens=stream_check.tokens,
            complete=stream_check.is_complete,
            fault=stream_check.fault.value,
            reason=refusal.code if refusal else failure,
            outcome=refusal.outcome if refusal else '',
        )

    async def _exchange(
        self,
        arrival: traces.Arrival,
        address: str,
        progress: '_ResponseProgress',
    ) -> None:
        async with self._session.post(
            f'http://{address}/v1/responses',
            json=build_body(self._seed, self._model, arrival),
            headers={
                'X-Customer': arrival.customer,
                'X-Request-Kind': arrival.kind,
                'X-Request-Timeout': str(arrival.timeout_s),
            },
        ) as response:
            if response.status != _OK:
                body = await response.read()
                progress.stream_check.refusal = checker.read_refusal(body)
                return
            while chunk := await response.content.read(_CHUNK_BYTES):
                progress.stream_check.feed(chunk)
                if progress.first_s is None and progress.stream_check.tokens:
                    progress.first_s = self.read_elapsed_s()


class _ResponseProgress:
    """The state of one response while it is read."""

    def __init__(self, stream_check: checker.Checker) -> None:
        """Start before the first token."""
        self.stream_check = stream_check
        self.first_s: float | None = None


def build_body(
    seed: int, model: str, arrival: traces.Arrival
) -> dict[str, object]:
    """Return the JSON body of a request."""
    return {
        'model': model,
        'input': traces.render_prompt(seed, arrival),
        'stream': True,
        'metadata': {
            'output_tokens': arrival.output_tokens,
            'request': str(arrival.number),
        },
    }
