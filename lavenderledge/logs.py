"""Logs: one line of key=value pairs for each event."""

import asyncio
import collections
import contextlib
import datetime
import json
import logging
import os
import re
import typing

from lavenderledge import clock as clocks

_BARE = re.compile(r'[^\s"=\\]+')

# Lines that wait for a slow reader of the output; more are dropped. At 300
# bytes a line this is a megabyte.
MAX_LINES: typing.Final = 3000
# Of these, so many are kept for lines above the level of information.
_KEPT_FOR_FAILURES: typing.Final = 500
_FLUSH_INTERVAL_MS: typing.Final = 200
FLUSH_INTERVAL: typing.Final = datetime.timedelta(
    milliseconds=_FLUSH_INTERVAL_MS
)
_WRITE_LINES: typing.Final = 100


class _Fields(logging.Formatter):
    """Formats a record as key=value pairs on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for one record."""
        pairs: dict[str, object] = {
            'time': f'{record.created:.3f}',
            'level': record.levelname.lower(),
            'event': record.getMessage(),
        }
        pairs.update(getattr(record, 'fields', {}))
        if record.exc_info:
            pairs['exception'] = self.formatException(record.exc_info)
        return ' '.join(
            f'{name}={_quote(str(text))}' for name, text in pairs.items()
        )


def configure_logs(*, stream: typing.TextIO, level: str) -> None:
    """Send every log record to the stream as key=value lines."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_Fields())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
    logging.getLogger('uvicorn').setLevel(logging.WARNING)


class BoundedHandler(logging.Handler):
    """Keeps lines and writes them without ever waiting for the reader.

    A full queue drops information first; what was dropped is told in a line
    of its own once there is room.
    """

    def __init__(self, *, descriptor: int, clock: clocks.Clock) -> None:
        """Write to a descriptor, which is set not to block."""
        super().__init__()
        self.setFormatter(_Fields())
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._lines: collections.deque[str] = collections.deque()
        self._rest = b''
        self._told = 0
        os.set_blocking(descriptor, False)

    @property
    def has_lines(self) -> bool:
        """Return whether lines still wait for the reader."""
        return bool(self._rest or self._lines)

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record's line, or count it as dropped."""
        most = MAX_LINES
        if record.levelno <= logging.INFO:
            most -= _KEPT_FOR_FAILURES
        if len(self._lines) >= most:
            self.dropped += 1
            return
        self._lines.append(self.format(record))

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            while self._rest or self._lines:
                self._rest = self._rest or self._take()
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]

    async def run(self) -> None:
        """Write until cancelled."""
        try:
            while True:
                self.flush()
                self._tell_dropped()
                await self._clock.sleep(FLUSH_INTERVAL)
        except asyncio.CancelledError:
            self.flush()
            raise

    def _take(self) -> bytes:
        lines = [
            self._lines.popleft()
            for _ in range(min(len(self._lines), _WRITE_LINES))
        ]
        return ''.join(f'{line}\n' for line in lines).encode()

    def _tell_dropped(self) -> None:
        if self.dropped > self._told and len(self._lines) < MAX_LINES / 2:
            count = self.dropped - self._told
            self._told = self.dropped
            # Told whatever level the loggers have.
            self.emit(
                logging.makeLogRecord(
                    {
                        'name': __name__,
                        'levelno': logging.WARNING,
                        'levelname': logging.getLevelName(logging.WARNING),
                        'msg': 'lines_dropped',
                        'fields': {'count': count},
                    }
                )
            )


def configure_bounded_logs(
    *, descriptor: int, level: str, clock: clocks.Clock
) -> BoundedHandler:
    """Send every log record through a bounded queue; run its handler."""
    handler = BoundedHandler(descriptor=descriptor, clock=clock)
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
    return handler


def write_event(
    logger: logging.Logger,
    event: str,
    *,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Log one event with its fields.

    The event is a short fixed name with underscores; everything that varies
    goes into the fields. Secrets are never passed here.
    """
    logger.log(level, event, extra={'fields': fields})


def _quote(text: str) -> str:
    if _BARE.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=False)
