"""Outcomes of requests, and the refusals that callers receive.

Only this module builds refusals. This ensures that "not run" is reported only
for a request whose first byte has not been sent to an upstream.
"""

import enum
import http
import typing

OUTCOME_HEADER = 'X-Request-Outcome'


@enum.unique
class Outcome(enum.StrEnum):
    """Whether a request without a complete answer was run."""

    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


@enum.unique
class Reason(enum.StrEnum):
    """Why a request was refused or ended without a complete answer."""

    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'
    BODY_TIMEOUT = 'body_timeout'
    NO_SUCH_POOL = 'no_such_pool'
    NO_SUCH_ROW = 'no_such_row'
    NO_SUCH_RESPONSE = 'no_such_response'
    NO_SUCH_PATH = 'no_such_path'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    CUSTOMER_MISSING = 'customer_missing'
    KEY_MISSING = 'idempotency_key_missing'
    KEY_REUSED = 'idempotency_key_reused'
    KEY_IN_USE = 'idempotency_key_in_use'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    TABLE_UNAVAILABLE = 'table_unavailable'
    RATE_LIMITED = 'rate_limited'
    QUEUE_FULL = 'queue_full'
    CALLER_LIMIT = 'caller_limit'
    DISPLACED = 'displaced'
    MEMORY_FULL = 'memory_full'
    OVERLOADED = 'overloaded'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    CONNECT_FAILED = 'connect_failed'
    GRANT_LAPSED = 'grant_lapsed'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_LOST = 'upstream_lost'
    ANSWER_INCOMPLETE = 'answer_incomplete'
    PREEMPTED = 'preempted'
    STOPPING = 'stopping'
    CALLER_GONE = 'caller_gone'
    INTERNAL = 'internal'


_STATUSES: typing.Final = {
    Reason.MALFORMED: http.HTTPStatus.BAD_REQUEST,
    Reason.TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.BODY_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
    Reason.NO_SUCH_POOL: http.HTTPStatus.NOT_FOUND,
    Reason.NO_SUCH_ROW: http.HTTPStatus.FORBIDDEN,
    Reason.NO_SUCH_RESPONSE: http.HTTPStatus.NOT_FOUND,
    Reason.NO_SUCH_PATH: http.HTTPStatus.NOT_FOUND,
    Reason.METHOD_NOT_ALLOWED: http.HTTPStatus.METHOD_NOT_ALLOWED,
    Reason.CUSTOMER_MISSING: http.HTTPStatus.UNAUTHORIZED,
    Reason.KEY_MISSING: http.HTTPStatus.BAD_REQUEST,
    Reason.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.KEY_IN_USE: http.HTTPStatus.CONFLICT,
    Reason.RATE_LIMITED: http.HTTPStatus.TOO_MANY_REQUESTS,
    Reason.QUEUE_FULL: http.HTTPStatus.TOO_MANY_REQUESTS,
    Reason.CALLER_LIMIT: http.HTTPStatus.TOO_MANY_REQUESTS,
    Reason.DEADLINE_EXCEEDED: http.HTTPStatus.GATEWAY_TIMEOUT,
    Reason.UPSTREAM_REFUSED: http.HTTPStatus.BAD_GATEWAY,
    Reason.UPSTREAM_FAILED: http.HTTPStatus.BAD_GATEWAY,
    Reason.UPSTREAM_LOST: http.HTTPStatus.GATEWAY_TIMEOUT,
    Reason.ANSWER_INCOMPLETE: http.HTTPStatus.BAD_GATEWAY,
    Reason.INTERNAL: http.HTTPStatus.INTERNAL_SERVER_ERROR,
}


class Refusal(typing.NamedTuple):
    """The result of a request that ended without a complete answer."""

    reason: Reason
    outcome: Outcome
    detail: str
    retry_after_s: float | None = None

    @property
    def status(self) -> http.HTTPStatus:
        """Return the HTTP status sent to the caller."""
        return _STATUSES.get(self.reason, http.HTTPStatus.SERVICE_UNAVAILABLE)


class Dispatch:
    """Tracks whether a request's first byte was sent to an upstream."""

    def __init__(self) -> None:
        """Create the state of a request that has not been sent."""
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the first byte may have been sent."""
        return self._started

    def start(self) -> None:
        """Record that the first byte is about to be sent.

        Raises ``RuntimeError`` on a second call: a request is dispatched at
        most once.
        """
        if self._started:
            raise RuntimeError('a request is dispatched at most once')
        self._started = True

    def refuse(
        self,
        reason: Reason,
        detail: str,
        *,
        retry_after_s: float | None = None,
        failed: bool = False,
    ) -> Refusal:
        """Build a refusal with the outcome for the request's current state.

        Before the first byte is sent, the outcome is "not run". Afterwards it
        is "failed" if the upstream reported a failure (``failed``), and
        "unknown" otherwise.
        """
        return Refusal(
            reason, self._determine_outcome(failed), detail, retry_after_s
        )

    def _determine_outcome(self, failed: bool) -> Outcome:
        if self._started:
            return Outcome.FAILED if failed else Outcome.UNKNOWN
        return Outcome.NOT_RUN


def build_unknown_refusal(
    reason: Reason, detail: str, *, retry_after_s: float | None = None
) -> Refusal:
    """Build a refusal of a request that another attempt may have run."""
    return Refusal(reason, Outcome.UNKNOWN, detail, retry_after_s)
