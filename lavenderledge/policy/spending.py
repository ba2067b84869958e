"""What customers spent of their quotas in the last window."""

import bisect
import collections
import copy
import itertools
import operator
import typing
from collections import abc

# Sums of costs are exact up to rounding errors.
_ROUNDING_RATIO: typing.Final = 1.000000001


class Spending(typing.NamedTuple):
    """The cost of a request that was granted, at ``at_s`` (monotonic)."""

    request_id: str
    customer: str
    cost: float
    at_s: float


class _Charge(typing.NamedTuple):
    """A cost that was charged here, with the share of the quota then."""

    spending: Spending
    share: float

    @property
    def weight(self) -> float:
        """Return the cost as if the share were the whole quota."""
        return self.spending.cost / self.share


class _Account:
    """One customer's spendings; those charged here and those reported."""

    def __init__(self) -> None:
        self.charged: collections.deque[_Charge] = collections.deque()
        self.reported: list[Spending] = []
        self.names: set[str] = set()
        self.is_changed = False
        self._charged_sum = float(0)
        self._reported_sum = float(0)

    def is_known(self, request_id: str) -> bool:
        """Return whether a request's cost is recorded."""
        return request_id in self.names

    def charge(self, charge: _Charge) -> None:
        """Record what was charged here."""
        self.charged.append(charge)
        self.names.add(charge.spending.request_id)
        self._charged_sum += charge.weight

    def report(self, spending: Spending) -> None:
        """Record what was charged elsewhere."""
        bisect.insort(self.reported, spending, key=operator.attrgetter('at_s'))
        self.names.add(spending.request_id)
        self._reported_sum += spending.cost
        self.is_changed = True

    def refund(self, request_id: str) -> None:
        """Remove the last charge for a request."""
        for charge in reversed(self.charged):
            if charge.spending.request_id == request_id:
                self.charged.remove(charge)
                self.names.discard(request_id)
                self._charged_sum -= charge.weight
                return

    def expire(self, before_s: float) -> None:
        """Drop what was spent before a time."""
        while self.charged and self.charged[0].spending.at_s < before_s:
            expired = self.charged.popleft()
            self.names.discard(expired.spending.request_id)
            self._charged_sum -= expired.weight
        count = bisect.bisect_left(
            self.reported, before_s, key=operator.attrgetter('at_s')
        )
        for spending in self.reported[:count]:
            self.names.discard(spending.request_id)
            self._reported_sum -= spending.cost
        if count:
            self.reported = self.reported[count:]

    def sum_up(self, share: float) -> float:
        """Return the sum of the costs that ``weigh`` returns.

        Those who report here, a share of all, spent what was reported.
        """
        charged = self._charged_sum if self.charged else 0
        reported = self._reported_sum / share if self.reported else 0
        return charged + reported

    def list_all(self) -> list[Spending]:
        """Return all spendings in the order of time."""
        charged = (charge.spending for charge in self.charged)
        return sorted(
            itertools.chain(charged, self.reported),
            key=operator.attrgetter('at_s'),
        )

    def weigh(self, share: float) -> list[tuple[float, float]]:
        """Return times and costs; a part of the quota stands for all of it."""
        weighed = [
            (charge.spending.at_s, charge.weight) for charge in self.charged
        ]
        weighed += [
            (spending.at_s, spending.cost / share) for spending in self.reported
        ]
        return weighed


class SpendingLedger:
    """Keeps the spendings of the last window, by customer.

    An allocator records what it charges, and merges what instances report of
    other allocators' grants.
    """

    def __init__(self, *, window_s: float) -> None:
        """Start without spendings."""
        self._window_s = window_s
        self._accounts: dict[str, _Account] = {}

    def copy_customer(self, customer: str) -> 'SpendingLedger':
        """Return a ledger with a copy of one customer's spendings."""
        copied = SpendingLedger(window_s=self._window_s)
        account = self._accounts.get(customer)
        if account is not None:
            copied._accounts[customer] = copy.deepcopy(account)
        return copied

    def charge(self, spending: Spending, *, share: float) -> None:
        """Record a cost that was charged to a share of the quota."""
        self._find(spending.customer).charge(_Charge(spending, share))

    def refund(self, customer: str, request_id: str) -> None:
        """Remove a charge whose request did not run."""
        account = self._accounts.get(customer)
        if account is not None:
            account.refund(request_id)

    def merge(self, reported: abc.Iterable[Spending], now_s: float) -> None:
        """Add spendings that instances report, each once."""
        for spending in reported:
            account = self._find(spending.customer)
            is_old = now_s - spending.at_s > self._window_s
            if not (is_old or account.is_known(spending.request_id)):
                account.report(spending)

    def take_change(self, customer: str) -> bool:
        """Return whether spendings were merged since the last call."""
        account = self._find(customer)
        is_changed = account.is_changed
        account.is_changed = False
        return is_changed

    def list_customer(self, customer: str, now_s: float) -> list[Spending]:
        """Return a customer's spendings in the order of time."""
        account = self._find(customer)
        account.expire(now_s - self._window_s)
        return account.list_all()

    def list_all(self, now_s: float) -> list[Spending]:
        """Return the spendings of all customers."""
        listed: list[Spending] = []
        for account in self._accounts.values():
            account.expire(now_s - self._window_s)
            listed += account.list_all()
        return listed

    def compute_wait_s(
        self,
        customer: str,
        cost: float,
        *,
        bound: float,
        share: float,
        now_s: float,
    ) -> float:
        """Return the seconds until a cost fits a window's bound.

        A cost above the bound fits if nothing else was spent.
        """
        account = self._find(customer)
        account.expire(now_s - self._window_s)
        allowed = max(0, bound * _ROUNDING_RATIO - cost / share)
        excess = account.sum_up(share) - allowed
        wait_s = float(0)
        if excess <= 0:
            return wait_s
        for at_s, spent in sorted(account.weigh(share)):
            if excess <= 0:
                break
            wait_s = at_s + self._window_s - now_s
            excess -= spent
        return wait_s

    def drop_old(self, now_s: float) -> None:
        """Drop what was spent before the window."""
        for customer, account in tuple(self._accounts.items()):
            account.expire(now_s - self._window_s)
            if not (account.charged or account.reported):
                self._accounts.pop(customer)

    def _find(self, customer: str) -> _Account:
        account = self._accounts.get(customer)
        if account is None:
            account = _Account()
            self._accounts[customer] = account
        return account
