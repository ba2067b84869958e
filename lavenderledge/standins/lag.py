"""A value that is seen some time after it was set."""

import collections
import typing

_HORIZON_S = 120

Value = typing.TypeVar('Value')


class DelayedValue(typing.Generic[Value]):
    """The recent history of one value."""

    def __init__(self, *, initial: Value) -> None:
        """Start with a value that has always been there."""
        self._history: collections.deque[tuple[float, Value]] = (
            collections.deque([(float('-inf'), initial)])
        )

    def set(self, now_s: float, value: Value) -> None:
        """Record the value from this time on."""
        if self._history[-1][1] == value:
            return
        self._history.append((now_s, value))
        while self._history[1][0] < now_s - _HORIZON_S:
            self._history.popleft()

    def read(self, now_s: float, lag_s: float) -> Value:
        """Return the value as it was ``lag_s`` before, up to two minutes."""
        for set_s, value in reversed(self._history):
            if set_s <= now_s - lag_s:
                return value
        return self._history[0][1]
