"""Serves callers' requests, each by an exchange of its own."""

import asyncio
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.controllers import beliefs, slotrequester
from lavenderledge.daemon import metrics as meters
from lavenderledge.http1 import client, messages, server
from lavenderledge.policy import retrybudget
from lavenderledge.proxy import calls, exchange


class Parts(typing.NamedTuple):
    """What the data path works with."""

    dialect: calls.Dialect
    clock: clocks.Clock
    configuration: beliefs.ConfigurationBelief
    requester: slotrequester.SlotRequester
    pool: client.Pool
    metrics: meters.Metrics
    count_instances: abc.Callable[[], int]
    has_left: abc.Callable[[str], bool]


class Forwarder:
    """Serves callers' requests."""

    def __init__(self, *, settings: exchange.Settings, parts: Parts) -> None:
        """Serve with the given beliefs and slots."""
        self.refuses_all = False
        self.settings = settings
        self._parts = parts
        self._budgets: dict[str, retrybudget.RetryBudget] = {}

    async def serve(
        self, request: messages.Request, reply: server.Reply
    ) -> None:
        """Answer one request."""
        parts = self._parts
        call = parts.dialect.read_call(request)
        if isinstance(call, calls.Malformed):
            parts.metrics.count('refusals', reason='malformed', outcome='')
            reply.send(call.status, (), b'')
            return
        current = exchange.Exchange(
            tools=exchange.Tools(
                dialect=parts.dialect,
                clock=parts.clock,
                configuration=parts.configuration,
                requester=parts.requester,
                pool=parts.pool,
                metrics=parts.metrics,
                settings=self.settings,
                has_left=parts.has_left,
                may_repeat=self._may_repeat,
                note_request=self._note_request,
            ),
            request=request,
            reply=reply,
            call=call,
        )
        if self.refuses_all:
            current.refuse(messages.UNAVAILABLE, 'stopping', 0)
            return
        try:
            await current.run()
        except asyncio.CancelledError:
            current.log(exchange.Ending(0, 'caller_left', ''))
            raise

    def _note_request(self, service: str) -> None:
        budget = self._find_budget(service)
        budget.note_request(self._parts.clock.read_monotonic())

    def _may_repeat(self, service: str) -> bool:
        """Count a repeat if the instance's share of the budget allows it."""
        return self._find_budget(service).take(
            self._parts.clock.read_monotonic(),
            instances=self._parts.count_instances(),
        )

    def _find_budget(self, service: str) -> retrybudget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retrybudget.RetryBudget(budget=self.settings.budget)
            self._budgets[service] = budget
        return budget
