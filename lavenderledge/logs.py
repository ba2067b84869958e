"""Logs: one line of key=value pairs for each event."""

import json
import logging
import re
import typing

_BARE = re.compile(r'[^\s"=\\]+')


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
