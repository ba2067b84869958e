"""One attempt of a request at a replica, and the relay to its caller."""

import asyncio
import enum
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.http1 import messages, server
from lavenderledge.proxy import events, headercodec

# Plain responses up to this size are buffered until they are complete, so that
# a request whose response breaks off can be retried.
_MAX_BUFFERED_BYTES: typing.Final = 262_144
_SUCCESS_CLASS: typing.Final = 2
_DISCONNECTED: typing.Final = frozenset(
    (messages.Ending.CLOSED, messages.Ending.RESET)
)


@enum.unique
class Result(enum.Enum):
    """How an attempt ended."""

    DELIVERED = 'delivered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    LOST = 'lost'
    INVALID = 'invalid'
    EXPIRED = 'deadline'
    OVERTAKEN = 'overtaken'


class BufferedResponse(typing.NamedTuple):
    """A complete response of a replica that has not been relayed."""

    status: int
    fields: list[messages.Header]
    body: bytes


class ResponseRelay:
    """Relays the responses of all attempts of a request to its caller.

    Of a stream, only valid events are relayed. If it is resumable, another
    attempt may go on after ``last_event_id``.
    """

    def __init__(
        self, *, reply: server.Reply, is_alone: abc.Callable[[], bool]
    ) -> None:
        """Relay to ``reply``, as a response that can't be resumed.

        ``is_alone`` returns whether only one attempt of the request runs.
        """
        self.reply = reply
        self.is_alone = is_alone
        self.is_resumable = False
        self.last_event_id: str | None = None

    def begin(self, head: messages.ResponseHead, *, is_stream: bool) -> None:
        """Relay the head of the first attempt.

        A stream is relayed without its length: it may turn out to be broken
        off although it has that length.
        """
        if self.reply.started:
            return
        length = None if is_stream else head.length
        self.reply.start(
            head.status, messages.list_end_to_end(head.fields), length=length
        )

    def build_reader(self, fields: frozenset[bytes]) -> events.EventReader:
        """Return a reader for an attempt that goes on with the response."""
        last_id = self.last_event_id if self.is_resumable else None
        return events.EventReader(fields=fields, last_id=last_id)


class Attempt:
    """Receives one response and relays or buffers it."""

    def __init__(
        self,
        *,
        request: headercodec.ParsedRequest,
        header_codec: headercodec.HeaderCodec,
        relay: ResponseRelay,
        is_stream: bool,
        bodiless: bool,
        clock: clocks.Clock,
        on_head: abc.Callable[[headercodec.ParsedResponse], None],
        on_progress: 'abc.Callable[[Attempt], None]',
    ) -> None:
        """Wait for the response's head; ``bodiless`` means nothing else.

        ``on_head`` gets the head of a response to this request. ``on_progress``
        is called before anything is relayed that only one attempt may relay.
        """
        self.done: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        self.must_be_identified = False
        self.buffered: BufferedResponse | None = None
        self.started_s = clock.read_monotonic()
        self.first_byte_delay_s = float(0)
        self.last_progress_s = self.started_s
        self.has_body = False
        # The longest time between two parts of a stream that were relayed.
        self.longest_pause_s = float(0)
        self.slowness = float(0)
        self.status = 0
        self.ending: messages.Ending | None = None
        self.size_bytes = 0
        self._request = request
        self._header_codec = header_codec
        self._relay = relay
        # Only the rest of an answer is asked for.
        self.is_continuation = is_stream and relay.last_event_id is not None
        self._is_stream = is_stream
        self._bodiless = bodiless
        self._clock = clock
        self._on_head = on_head
        self._on_progress = on_progress
        self._reader = relay.build_reader(header_codec.event_fields)
        self._head: messages.ResponseHead | None = None
        self._parsed: headercodec.ParsedResponse | None = None
        self._is_relaying = False
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def framing(self) -> messages.Framing | None:
        """Return how the response is framed, None before its head."""
        return None if self._head is None else self._head.framing

    @property
    def was_disconnected(self) -> bool:
        """Return whether the connection ended, perhaps before the answer did.

        An unframed answer ends with its connection, whether it is whole or not.
        """
        if self.ending is messages.Ending.COMPLETE:
            return self.framing is messages.Framing.CLOSE
        return self.ending in _DISCONNECTED

    @property
    def is_identified(self) -> bool:
        """Return whether the response names the request that it belongs to."""
        return self._parsed is not None and self._parsed.has_id

    @property
    def fault(self) -> str:
        """Return why the rest of a stream was not relayed, if it was not."""
        return self._reader.fault

    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether the response belongs to this request.

        One without an id may be a repetition of an earlier response, unless
        the connection is new.
        """
        parsed = self._header_codec.parse_response(head, self._request)
        self._parsed = parsed
        has_id = parsed.has_id or not self.must_be_identified
        return parsed.matches_request and has_id

    def receive_head(self, head: messages.ResponseHead) -> None:
        """Decide whether to relay the response or to buffer it."""
        parsed = self._parsed
        assert parsed is not None
        self._head = head
        self.status = head.status
        self._on_head(parsed)
        self.slowness = parsed.slowness
        self.first_byte_delay_s = self._clock.read_monotonic() - self.started_s
        self._is_relaying = self._is_success() and (
            self._is_stream or self._bodiless
        )

    def receive_body(self, body: bytes) -> None:
        """Relay or buffer a part of the body."""
        if self.done.done():
            return
        now_s = self._clock.read_monotonic()
        if not self.has_body:
            self.has_body = True
            self.first_byte_delay_s = now_s - self.started_s
        self.size_bytes += len(body)
        if self._is_relaying:
            self._relay_body(body)
            return
        self.last_progress_s = now_s
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        self._relay.reply.hold(len(body))
        if self.size_bytes > _MAX_BUFFERED_BYTES:
            self._end_buffering()

    def receive_end(self, ending: messages.Ending) -> None:
        """Set the result."""
        self.ending = ending
        if not self.done.done():
            self.end(self._classify(ending))

    def end(self, result: Result) -> None:
        """Set the result of an attempt that has none yet."""
        if not self.done.done():
            self.done.set_result(result)
        if self.buffered is None:
            self.discard()

    def discard(self) -> None:
        """Release what is buffered of a response that is not used."""
        self._chunks.clear()
        self._relay.reply.hold(-self._buffered_bytes)
        self._buffered_bytes = 0

    def _is_success(self) -> bool:
        assert self._head is not None
        assert self._parsed is not None
        return (
            self._head.status // 100 == _SUCCESS_CLASS
            and not self._parsed.has_not_run
            and self._parsed.is_signed
            and not self._parsed.is_encoded
        )

    def _end_buffering(self) -> None:
        """Relay a response that is too large to buffer, if it is a success."""
        if self._is_success():
            self._is_relaying = True
            self._relay_body(b''.join(self._chunks))
            self.discard()
        else:
            self.end(Result.INVALID)

    def _relay_body(self, body: bytes) -> None:
        if self._is_stream:
            self._relay_events(body)
        else:
            self._make_progress()
            self._relay_bytes(body)

    def _relay_events(self, body: bytes) -> None:
        valid = self._reader.feed(body)
        if valid:
            self._make_progress()
            self._relay_bytes(valid)
        if self._reader.fault:
            self.end(Result.INVALID)

    def _relay_bytes(self, body: bytes) -> None:
        assert self._head is not None
        self._relay.begin(self._head, is_stream=self._is_stream)
        self._relay.reply.write(body)
        if self._relay.is_resumable:
            self._relay.last_event_id = self._reader.last_id

    @property
    def event_count(self) -> int:
        """Return how many events of a stream were valid."""
        return self._reader.event_count

    def _make_progress(self) -> None:
        now_s = self._clock.read_monotonic()
        if self._reader.event_count > 1:
            pause_s = now_s - self.last_progress_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_progress_s = now_s
        self._on_progress(self)

    def _classify(self, ending: messages.Ending) -> Result:
        if self._head is None or self._parsed is None:
            # A replica that sends what is no response has not crashed.
            is_malformed = ending is messages.Ending.MALFORMED
            return Result.INVALID if is_malformed else Result.LOST
        succeeded = self._head.status // 100 == _SUCCESS_CLASS
        if self._parsed.has_not_run:
            # A success that says that it has not run contradicts itself.
            return Result.INVALID if succeeded else Result.NOT_RUN
        if ending is not messages.Ending.COMPLETE:
            return Result.LOST
        if self._is_relaying:
            return self._finish_relay(self._head)
        self.buffered = BufferedResponse(
            self._head.status,
            messages.list_end_to_end(self._head.fields),
            b''.join(self._chunks),
        )
        self._chunks.clear()
        if self._is_success():
            self._make_progress()
            return Result.DELIVERED
        return Result.INVALID if succeeded else Result.FAILED

    def _finish_relay(self, head: messages.ResponseHead) -> Result:
        """End the relayed response, unless it is a stream that broke off."""
        if self._is_stream and not self._bodiless and not self._has_ended(head):
            return Result.LOST
        self._make_progress()
        self._relay.begin(head, is_stream=self._is_stream)
        self._relay.reply.finish()
        return Result.DELIVERED

    def _has_ended(self, head: messages.ResponseHead) -> bool:
        """Return whether a stream may end here.

        A run makes at least one event. A further run may have none left: then
        its response is empty, and no other run may still go on.
        """
        if not self._reader.is_complete:
            return False
        if self._reader.event_count:
            return True
        is_empty = head.status == messages.OK and not self.size_bytes
        has_earlier = self._reader.last_number > 0
        return (
            is_empty
            and has_earlier
            and head.is_framed
            and self._relay.is_alone()
        )
