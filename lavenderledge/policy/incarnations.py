"""Senders that may restart: only the newest incarnation is accepted."""

import typing
from collections import abc


class Sender(typing.Protocol):
    """State of a sender; incarnation numbers only grow."""

    incarnation: int


_Sender = typing.TypeVar('_Sender', bound=Sender)


def admit(
    senders: dict[str, _Sender],
    name: str,
    incarnation: int,
    *,
    forget: abc.Callable[[str], object],
    make: abc.Callable[[], _Sender],
) -> _Sender | None:
    """Return a message's sender, or None if a newer incarnation is known.

    A newer incarnation replaces the known one, which ``forget`` removes with
    all its state.
    """
    sender = senders.get(name)
    if sender is not None and incarnation < sender.incarnation:
        return None
    if sender is not None and incarnation > sender.incarnation:
        forget(name)
        sender = None
    if sender is None:
        sender = make()
        senders[name] = sender
    return sender
