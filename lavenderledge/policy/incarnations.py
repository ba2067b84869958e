"""Senders that may start anew: only the newest incarnation is heard."""

import typing
from collections import abc


class Sender(typing.Protocol):
    """What is kept of a sender; its incarnations only grow."""

    incarnation: int


_Known = typing.TypeVar('_Known', bound=Sender)


def admit(
    known: dict[str, _Known],
    name: str,
    incarnation: int,
    *,
    forget: abc.Callable[[str], object],
    make: abc.Callable[[], _Known],
) -> _Known | None:
    """Return a message's sender, None where the message is of an older one.

    A newer incarnation takes the place of the one before, which ``forget``
    removes with all that it held.
    """
    sender = known.get(name)
    if sender is not None and incarnation < sender.incarnation:
        return None
    if sender is not None and incarnation > sender.incarnation:
        forget(name)
        sender = None
    if sender is None:
        sender = make()
        known[name] = sender
    return sender
