"""The state of a request in the filter chain, and types of filters."""

import contextlib
import typing
from collections import abc

import expression

from lavenderledge import outcomes
from lavenderledge.controllers import admission
from lavenderledge.policy import table

Interrupt: typing.TypeAlias = abc.Callable[[outcomes.Reason], None]
Sink: typing.TypeAlias = abc.Callable[[bytes], abc.Awaitable[None]]
Stream: typing.TypeAlias = abc.Callable[
    [Sink], abc.Awaitable['expression.Result[None, outcomes.Refusal]']
]


class Call(typing.NamedTuple):
    """A request as received; header names are in lower case.

    ``received_s`` is a reading of the monotonic clock.
    """

    method: str
    path: str
    query: str
    headers: abc.Mapping[str, str]
    body: bytes
    received_s: float


class Identity(typing.NamedTuple):
    """Values of the identity headers; absent keys and timeouts are None."""

    customer: str
    kind: str
    idempotency_key: str | None
    timeout_s: float | None


class Work(typing.NamedTuple):
    """The work that a request asks of an upstream.

    ``path`` is the path and query at the upstream. ``prompt`` is empty for
    plain services, and so is ``model``.
    """

    pool: str
    path: str
    model: str
    prompt: str
    stream: bool
    output_limit: int | None


class Answer(typing.NamedTuple):
    """An upstream's answer: a complete body, or a stream not yet read.

    A stream writes its bytes to the given sink and returns when the answer
    is complete; it returns a refusal if the answer can't be completed.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    stream: Stream | None = None


class Exchange:
    """The state of one request; its cleanup runs when the answer is sent."""

    def __init__(self, *, request_id: str, call: Call) -> None:
        """Start with the call; the filters set the other attributes."""
        self.request_id = request_id
        self.call = call
        self.dispatch = outcomes.Dispatch()
        self.cleanup = contextlib.AsyncExitStack()
        self.identity = Identity('', '', None, None)
        self.work: Work | None = None
        self.row: table.Row | None = None
        self.deadline_s = call.received_s
        self.placement: admission.Placement | None = None
        self.output_done = 0
        self.background = False
        self.immediate = False
        self.is_retrieval = False
        self.interrupt: Interrupt = self.note_interrupt
        self.interrupted: outcomes.Reason | None = None

    @property
    def outlives_caller(self) -> bool:
        """Return whether the work continues after its caller disconnects."""
        return self.background or self.identity.idempotency_key is not None

    def note_interrupt(self, reason: outcomes.Reason) -> None:
        """Record an interrupt for the next section with a time limit."""
        self.interrupted = reason

    def refuse(
        self,
        reason: outcomes.Reason,
        detail: str,
        *,
        retry_after_s: float | None = None,
        failed: bool = False,
    ) -> 'expression.Result[typing.Any, outcomes.Refusal]':
        """Return a refusal with the outcome that fits the dispatch state."""
        return expression.Error(
            self.dispatch.refuse(
                reason, detail, retry_after_s=retry_after_s, failed=failed
            )
        )


Outcome: typing.TypeAlias = 'expression.Result[Answer, outcomes.Refusal]'
Handler: typing.TypeAlias = abc.Callable[[Exchange], abc.Awaitable[Outcome]]
Filter: typing.TypeAlias = abc.Callable[
    [Exchange, Handler], abc.Awaitable[Outcome]
]
