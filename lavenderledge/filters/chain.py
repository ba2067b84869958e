"""Composition of filters into one handler."""

import functools
from collections import abc

from lavenderledge.filters import exchange


def build_chain(
    filters: abc.Sequence[exchange.Filter], endpoint: exchange.Handler
) -> exchange.Handler:
    """Return a handler that runs the filters in order, then the endpoint."""
    handler = endpoint
    for step in reversed(filters):
        handler = functools.partial(_run_step, step, handler)
    return handler


async def _run_step(
    step: exchange.Filter,
    proceed: exchange.Handler,
    current: exchange.Exchange,
) -> exchange.Outcome:
    return await step(current, proceed)
