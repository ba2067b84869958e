"""A value that becomes visible some time after it was set."""

import collections
import typing

_HORIZON_S = 120

Value = typing.TypeVar('Value')


class DelayedValue(typing.Generic[Value]):
    """One value with its history of the last two minutes."""

    def __init__(self, *, initial: Value) -> None:
        """Create a value that was set to ``initial`` in the past."""
        self._history: collections.deque[tuple[float, Value]] = (
            collections.deque([(float('-inf'), initial)])
        )

    def set(self, now_s: float, value: Value) -> None:
        """Set the value from ``now_s`` on."""
        if self._history[-1][1] == value:
            return
        self._history.append((now_s, value))
        while self._history[1][0] < now_s - _HORIZON_S:
            self._history.popleft()

    def read(self, now_s: float, lag_s: float) -> Value:
        """Return the value at ``lag_s`` before ``now_s``, at most 120 s."""
        for set_s, value in reversed(self._history):
            if set_s <= now_s - lag_s:
                return value
        return self._history[0][1]
