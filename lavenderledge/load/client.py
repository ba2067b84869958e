"""One caller's request, sent and read to its end."""

import asyncio
import typing

import aiohttp

from lavenderledge import clock as clocks
from lavenderledge.load import checker, traces

_PATIENCE_S = 10
_OK = 200
_CHUNK_BYTES = 65_536


class Result(typing.NamedTuple):
    """What became of one request; times in seconds from the trace's start.

    ``sent_s`` is when it was sent, which is later than its scheduled time
    where the tool itself was late. ``first_s`` and ``ended_s`` are None and
    the end of waiting where no token came. ``reason`` is a refusal's.
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
    """Sends requests of one trace."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        clock: clocks.Clock,
        seed: int,
        model: str,
        started_s: float,
    ) -> None:
        """Count times from ``started_s`` on the monotonic clock."""
        self._session = session
        self._clock = clock
        self._seed = seed
        self._model = model
        self._started_s = started_s

    def read_elapsed_s(self) -> float:
        """Return the seconds since the trace's start."""
        return self._clock.read_monotonic() - self._started_s

    async def call(self, arrival: traces.Arrival, address: str) -> Result:
        """Send one request to an address and return what became of it."""
        check = checker.Checker(
            request=str(arrival.number), output_tokens=arrival.output_tokens
        )
        reading = _Reading(check)
        sent_s = self.read_elapsed_s()
        failure = ''
        try:
            async with asyncio.timeout(arrival.timeout_s + _PATIENCE_S):
                await self._exchange(arrival, address, reading)
        except TimeoutError:
            failure = 'client_timeout'
        except (aiohttp.ClientError, OSError):
            failure = 'client_connection'
        refused = check.refusal
        return Result(
            arrival=arrival,
            sent_s=sent_s,
            first_s=reading.first_s,
            ended_s=self.read_elapsed_s(),
            tokens=check.tokens,
            complete=check.is_complete,
            fault=check.fault.value,
            reason=refused.code if refused else failure,
            outcome=refused.outcome if refused else '',
        )

    async def _exchange(
        self, arrival: traces.Arrival, address: str, reading: '_Reading'
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
                reading.check.refusal = checker.read_refusal(body)
                return
            while chunk := await response.content.read(_CHUNK_BYTES):
                reading.check.feed(chunk)
                if reading.first_s is None and reading.check.tokens:
                    reading.first_s = self.read_elapsed_s()


class _Reading:
    """How far one answer has come."""

    def __init__(self, check: checker.Checker) -> None:
        """Start with nothing read."""
        self.check = check
        self.first_s: float | None = None


def build_body(
    seed: int, model: str, arrival: traces.Arrival
) -> dict[str, object]:
    """Return the JSON document of a request."""
    return {
        'model': model,
        'input': traces.render_prompt(seed, arrival),
        'stream': True,
        'metadata': {
            'output_tokens': arrival.output_tokens,
            'request': str(arrival.number),
        },
    }
