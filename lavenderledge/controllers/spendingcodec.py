"""Spendings of quotas, as sent between instances."""

from collections import abc

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import spending


def encode(
    spendings: abc.Iterable[spending.Spending], now_s: float
) -> tuple[messages.Spending, ...]:
    """Return the newest spendings with their ages."""
    newest = sorted(spendings, key=lambda spent: spent.at_s)
    return tuple(
        messages.Spending(
            spent.request_id,
            spent.customer,
            spent.cost,
            max(0, now_s - spent.at_s),
        )
        for spent in newest[-messages.MAX_SPENDINGS :]
    )


def decode(
    spendings: abc.Iterable[messages.Spending], now_s: float
) -> list[spending.Spending]:
    """Return spendings with monotonic times."""
    return [
        spending.Spending(
            spent.request_id, spent.customer, spent.cost, now_s - spent.age_s
        )
        for spent in spendings
    ]
