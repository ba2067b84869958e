"""One run of a request at one replica, relayed to its caller."""

import asyncio
import enum
import typing

from lavenderledge import clock as clocks
from lavenderledge.http1 import client, messages, server
from lavenderledge.proxy import headercodec, events

# Plain answers up to this size are held until they are whole, so that one
# that breaks off can still be repeated, bytes.
_HELD_LIMIT_BYTES: typing.Final = 262_144
_SUCCESS_CLASS: typing.Final = 2


@enum.unique
class Result(enum.Enum):
    """How an attempt ended."""

    DELIVERED = 'delivered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    LOST = 'lost'
    INVALID = 'invalid'


class BufferedResponse(typing.NamedTuple):
    """A replica's own answer that has not been passed on."""

    status: int
    fields: list[messages.Header]
    body: bytes


class ResponseRelay:
    """What has been sent to the caller over all attempts of a request."""

    def __init__(
        self, *, reply: server.Reply, splitter: events.EventSplitter | None
    ) -> None:
        """Have sent nothing; with a splitter only whole events go out."""
        self.reply = reply
        self.splitter = splitter

    def begin(self, head: messages.ResponseHead) -> None:
        """Pass the first attempt's head on."""
        if self.reply.started:
            return
        length = head.length if self.splitter is None else None
        self.reply.start(
            head.status, messages.list_end_to_end(head.fields), length=length
        )

    def write(self, body: bytes) -> None:
        """Pass a part of the body on."""
        if self.splitter is not None:
            body = self.splitter.feed(body)
        self.reply.write(body)

    def finish(self) -> None:
        """End the answer as whole."""
        if self.splitter is not None:
            self.reply.write(self.splitter.flush())
        self.reply.finish()


class Attempt:
    """Receives one response and relays or holds it."""

    def __init__(
        self,
        *,
        call: headercodec.ParsedRequest,
        header_codec: headercodec.HeaderCodec,
        relay: ResponseRelay,
        is_stream: bool,
        clock: clocks.Clock,
    ) -> None:
        """Wait for the response's head."""
        self.done: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        self.held: BufferedResponse | None = None
        self.begun_s = clock.read_monotonic()
        self.first_s = float(0)
        self.last_s = self.begun_s
        self.has_body = False
        self.slowness = float(0)
        self.status = 0
        self._call = call
        self._header_codec = header_codec
        self._relay = relay
        self._is_stream = is_stream
        self._clock = clock
        self._head: messages.ResponseHead | None = None
        self._answer: headercodec.ParsedResponse | None = None
        self._relaying = False
        self._body: list[bytes] = []
        self._size = 0

    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether the response is this request's."""
        self._answer = self._header_codec.parse_response(head, self._call)
        return self._answer.is_ours

    def receive_head(self, head: messages.ResponseHead) -> None:
        """Decide between relaying and holding."""
        answer = self._answer
        assert answer is not None
        self._head = head
        self.status = head.status
        self.slowness = answer.slowness
        self.first_s = self._clock.read_monotonic() - self.begun_s
        self._relaying = self._is_stream and self._is_success()

    def receive_body(self, body: bytes) -> None:
        """Relay or hold a part of the body."""
        now_s = self._clock.read_monotonic()
        if not self.has_body:
            self.has_body = True
            self.first_s = now_s - self.begun_s
        self.last_s = now_s
        if self._relaying:
            self._pass(body)
            return
        self._body.append(body)
        self._size += len(body)
        if self._size > _HELD_LIMIT_BYTES and self._is_success():
            self._relaying = True
            self._pass(b''.join(self._body))
            self._body.clear()

    def receive_end(self, ending: messages.Ending) -> None:
        """Settle the result."""
        if not self.done.done():
            self.done.set_result(self._judge(ending))

    def _is_success(self) -> bool:
        assert self._head is not None
        assert self._answer is not None
        return (
            self._head.status // 100 == _SUCCESS_CLASS
            and self._answer.is_signed
            and not self._answer.is_encoded
        )

    def _pass(self, body: bytes) -> None:
        assert self._head is not None
        self._relay.begin(self._head)
        self._relay.write(body)

    def _judge(self, ending: messages.Ending) -> Result:
        if self._head is None or self._answer is None:
            return Result.LOST
        if self._answer.has_not_run:
            return Result.NOT_RUN
        if ending is not messages.Ending.COMPLETE:
            return Result.LOST
        if self._relaying:
            self._relay.finish()
            return Result.DELIVERED
        self.held = BufferedResponse(
            self._head.status,
            messages.list_end_to_end(self._head.fields),
            b''.join(self._body),
        )
        if self._is_success():
            return Result.DELIVERED
        succeeded = self._head.status // 100 == _SUCCESS_CLASS
        return Result.INVALID if succeeded else Result.FAILED


def follow_writable(connection: client.Connection, reply: server.Reply) -> None:
    """Read from the replica only while the caller takes what comes."""
    reply.watch_writable(
        lambda is_writable: connection.set_reading(value=is_writable)
    )
