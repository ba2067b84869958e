"""Max-min shares of a service's slots between customers of one rank.

Start-time fair queueing: a customer's tag advances by the work that is granted
to it, and the lowest tag is served first. A customer that asks for more than
its share delays its own requests, not those of others. Nothing is reserved:
while the others ask for less, one customer may use all slots.
"""

import typing

# Tags that are kept before those of idle customers are dropped.
_MAX_TAGS: typing.Final = 256


class FairShares:
    """The customers' tags, in seconds of one slot."""

    def __init__(self) -> None:
        """Start with equal tags."""
        self._tags_s: dict[str, float] = {}
        self._virtual_time_s = float(0)

    def read_lead_s(self, customer: str) -> float:
        """Return how much work a customer got ahead of the others."""
        tag_s = self._tags_s.get(customer, 0)
        return max(0, tag_s - self._virtual_time_s)

    def charge(self, customer: str, work_s: float) -> None:
        """Advance the tag of a customer whose request was granted.

        An idle customer starts from the last one served, so that idle time
        earns no credit.
        """
        start_s = max(self._tags_s.get(customer, 0), self._virtual_time_s)
        self._virtual_time_s = start_s
        self._tags_s[customer] = start_s + work_s
        if len(self._tags_s) > _MAX_TAGS:
            self._drop_idle()

    def _drop_idle(self) -> None:
        self._tags_s = {
            customer: tag_s
            for customer, tag_s in self._tags_s.items()
            if tag_s > self._virtual_time_s
        }
