"""The requests that an explanation is asked about."""

import typing
from collections import abc
from urllib import parse

import expression

_NUMBER_FIELDS: typing.Final = ('prompt_tokens', 'output_tokens')
_TEXT_FIELDS: typing.Final = ('host', 'path', 'customer')
# More tokens than any model reads, so that sums stay exact.
_MAX_TOKENS: typing.Final = 1_000_000_000


class Question(typing.NamedTuple):
    """A request that is only asked about.

    ``host`` is without a port. ``customer`` is a name, empty for a request
    without a key. Numbers of tokens are None if the request declares none.
    """

    host: str
    path: str
    customer: str
    prompt_tokens: int | None
    output_tokens: int | None

    @property
    def token_count(self) -> int | None:
        """Return the declared size, None without one."""
        if self.prompt_tokens is None or self.output_tokens is None:
            return None
        return self.prompt_tokens + self.output_tokens


def parse_question(query: str) -> 'expression.Result[Question, str]':
    """Return what a query string asks for, or what is wrong with it."""
    try:
        pairs = parse.parse_qsl(
            query, keep_blank_values=True, strict_parsing=bool(query)
        )
    except ValueError as error:
        return expression.Error(f'expected name=value pairs: {error}')
    fields = dict(pairs)
    names = [name for name, _ in pairs]
    for name in names:
        if name not in {*_TEXT_FIELDS, *_NUMBER_FIELDS}:
            return expression.Error(f'unknown parameter {name!r}')
        if names.count(name) > 1:
            return expression.Error(f'parameter {name} is repeated')
    return _check_fields(fields)


def _check_fields(
    fields: abc.Mapping[str, str],
) -> 'expression.Result[Question, str]':
    host = fields.get('host', '').partition(':')[0].lower()
    path = fields.get('path', '')
    if not host:
        return expression.Error('parameter host is required')
    if not path.startswith('/'):
        return expression.Error(
            f'expected a path that starts with /, got {path!r}'
        )
    counts: list[int | None] = []
    for name in _NUMBER_FIELDS:
        text = fields.get(name)
        if text is not None and not (text.isascii() and text.isdecimal()):
            return expression.Error(f'{name}: {text!r} is not a whole number')
        counts.append(None if text is None else min(int(text), _MAX_TOKENS))
    if counts.count(None) == 1:
        return expression.Error(f'expected both of {_NUMBER_FIELDS} or none')
    return expression.Ok(
        Question(
            host,
            # The path of a request is matched without its query.
            path.partition('?')[0],
            fields.get('customer', ''),
            *counts,
        )
    )
