"""The record of one request and its log line."""

import logging
import typing

from lavenderledge import logevents, logs
from lavenderledge.proxy import attempts

_MILLISECONDS: typing.Final = 1000
# Ages are logged up to this: a configuration never confirmed is infinitely old.
_MAX_AGE_S: typing.Final = 1e6
_LOGGER = logging.getLogger(__name__)


class Ending(typing.NamedTuple):
    """How a request ended; status 0 means that no response was sent."""

    status: int
    outcome: str
    reason: str


class RequestRecord:
    """The progress of one request; times are monotonic, in seconds."""

    def __init__(self, *, request_id: str, started_s: float) -> None:
        """Create the record of a request that has not been sent yet."""
        self.request_id = request_id
        self.started_s = started_s
        self.route = ''
        self.service = ''
        self.customer = ''
        self.rank: int | None = None
        self.version = 0
        self.sends = 0
        self.runs = 0
        self.excluded: list[str] = []
        self.replica = ''
        self.last_failure = ''
        self.granted_s: float | None = None
        self.list_age_s: float | None = None
        self.first_byte_s: float | None = None
        self._framing = ''
        self._ending = ''
        self._body_bytes = 0
        self._longest_pause_s: float | None = None
        self._event_count = 0
        self._last_progress_s: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have started to process it."""
        return self.runs > 0

    def note_first_byte(self, at_s: float) -> None:
        """Record when the first byte arrived; later attempts change nothing."""
        if self.first_byte_s is None:
            self.first_byte_s = at_s

    def note_response(self, attempt: attempts.Attempt) -> None:
        """Record how the response of the last attempt was framed and ended."""
        self._framing = attempt.framing.value if attempt.framing else ''
        self._ending = attempt.ending.value if attempt.ending else ''
        self._body_bytes = attempt.size_bytes
        self._longest_pause_s = attempt.longest_pause_s
        self._event_count = attempt.event_count
        self._last_progress_s = (
            attempt.last_progress_s if attempt.has_body else None
        )

    def exclude(self, replica: str, failure: str) -> None:
        """Exclude a replica that failed or rejected the request."""
        self.excluded.append(replica)
        self.last_failure = failure

    def write(
        self,
        ending: Ending,
        *,
        now_s: float,
        age_s: float,
        allocator: str,
        digest: str,
    ) -> None:
        """Log the request.

        ``age_s`` is the age of its configuration, ``digest`` the same for each
        request that replicas can't tell from this one.
        """
        is_failure = ending.outcome != 'answered'
        logs.write_event(
            _LOGGER,
            logevents.REQUEST,
            level=logging.WARNING if is_failure else logging.INFO,
            id=self.request_id,
            route=self.route,
            service=self.service,
            customer=self.customer,
            rank='' if self.rank is None else self.rank,
            status=ending.status,
            outcome=ending.outcome,
            reason=ending.reason,
            replica=self.replica,
            sends=self.sends,
            runs=self.runs,
            excluded=','.join(self.excluded),
            failure=self.last_failure,
            digest=digest if is_failure else '',
            framing=self._framing,
            ending=self._ending,
            body_bytes=self._body_bytes,
            list_age_ms=_format_age(self.list_age_s),
            waited_ms=self._elapsed_ms(self.granted_s),
            first_ms=self._elapsed_ms(self.first_byte_s),
            progress_ms=self._elapsed_ms(self._last_progress_s),
            pause_ms=_format_duration(self._longest_pause_s),
            events=self._event_count,
            total_ms=self._elapsed_ms(now_s),
            version=self.version,
            age_ms=_format_age(age_s),
            allocator=allocator,
        )

    def _elapsed_ms(self, at_s: float | None) -> object:
        if at_s is None:
            return ''
        return round((at_s - self.started_s) * _MILLISECONDS, 1)


def _format_age(age_s: float | None) -> object:
    """Return an age in milliseconds, empty if it is not known."""
    if age_s is None:
        return ''
    return round(min(age_s, _MAX_AGE_S) * _MILLISECONDS)


def _format_duration(duration_s: float | None) -> object:
    """Return a duration in milliseconds, empty if it is not known."""
    if duration_s is None:
        return ''
    return round(duration_s * _MILLISECONDS, 1)
