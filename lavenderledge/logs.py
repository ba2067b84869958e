"""Logging: one line of key=value pairs per event."""

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

_UNQUOTED = re.compile(r'[^\s"=\\]+')

# Maximum number of queued lines; further ones are dropped. At 300 bytes a line
# the queue takes a megabyte.
MAX_LINES: typing.Final = 3000
# Lines of the queue that are reserved for levels above INFO.
_RESERVED_LINES: typing.Final = 500
_FLUSH_INTERVAL_MS: typing.Final = 200
FLUSH_INTERVAL: typing.Final = datetime.timedelta(
    milliseconds=_FLUSH_INTERVAL_MS
)
_BATCH_LINES: typing.Final = 100


class _FieldFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line."""
        fields: dict[str, object] = {
            'time': f'{record.created:.3f}',
            'level': record.levelname.lower(),
            'event': record.getMessage(),
        }
        fields.update(getattr(record, 'fields', {}))
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return ' '.join(
            f'{name}={_quote(str(text))}' for name, text in fields.items()
        )


def configure_logs(*, stream: typing.TextIO, level: str) -> None:
    """Write every log record to the stream as a key=value line."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_FieldFormatter())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
    logging.getLogger('uvicorn').setLevel(logging.WARNING)


class BoundedHandler(logging.Handler):
    """Queues lines and writes them without blocking on a slow reader.

    A full queue drops lines of level INFO and below first. The number of
    dropped lines is logged once there is room.
    """

    def __init__(self, *, descriptor: int, clock: clocks.Clock) -> None:
        """Write to a descriptor, which is made non-blocking."""
        super().__init__()
        self.setFormatter(_FieldFormatter())
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._lines: collections.deque[str] = collections.deque()
        self._unwritten = b''
        self._reported = 0
        os.set_blocking(descriptor, False)

    @property
    def has_lines(self) -> bool:
        """Return whether lines are still queued."""
        return bool(self._unwritten or self._lines)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the record's line, or count it as dropped."""
        max_lines = MAX_LINES
        if record.levelno <= logging.INFO:
            max_lines -= _RESERVED_LINES
        if len(self._lines) >= max_lines:
            self.dropped += 1
            return
        self._lines.append(self.format(record))

    def flush(self) -> None:
        """Write as many queued lines as possible without blocking."""
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            while self._unwritten or self._lines:
                self._unwritten = self._unwritten or self._take_batch()
                written = os.write(self._descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]

    async def run(self) -> None:
        """Flush at intervals until cancelled."""
        try:
            while True:
                self.flush()
                self._report_dropped()
                await self._clock.sleep(FLUSH_INTERVAL)
        except asyncio.CancelledError:
            self.flush()
            raise

    def _take_batch(self) -> bytes:
        lines = [
            self._lines.popleft()
            for _ in range(min(len(self._lines), _BATCH_LINES))
        ]
        return ''.join(f'{line}\n' for line in lines).encode()

    def _report_dropped(self) -> None:
        if self.dropped > self._reported and len(self._lines) < MAX_LINES / 2:
            count = self.dropped - self._reported
            self._reported = self.dropped
            # Bypasses the loggers, whose level may exclude warnings.
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
    """Send every log record to a bounded queue; return its handler to run."""
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

    The event is a short fixed name with underscores; variable parts go into
    the fields. Secrets must not be passed.
    """
    logger.log(level, event, extra={'fields': fields})


def _quote(text: str) -> str:
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=False)
