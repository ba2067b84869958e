"""One request's way: judged, placed, sent, relayed, repeated where allowed."""

import asyncio
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.controllers import caches, slotallocator, slotrequester
from lavenderledge.daemon import metrics as meters
from lavenderledge.http1 import client, messages, server
from lavenderledge.peers import slotmessages
from lavenderledge.policy import retrybudget, routes
from lavenderledge.proxy import attempts, headercodec, events, requestrecord

# A final answer goes out this long before the request's time is up, seconds.
_ANSWER_MARGIN_S: typing.Final = 0.03
# Requests whose callers are about to leave are answered so much before,
# seconds: an answer still takes its way to the caller.
_LEAVE_MARGIN_S: typing.Final = 0.15
# A new connection takes a round trip; a replica that does not accept within
# this is dark, seconds.
_CONNECT_TIMEOUT_S: typing.Final = 0.3
# What may run only once goes out on connections that were in use within this,
# seconds: on an older one the peer's silent close would leave its fate open.
_ONCE_IDLE_S: typing.Final = 1.0
_REPEATABLE_IDLE_S: typing.Final = 60.0
# A grant is good for so long, seconds: it covers a slow connect, and a process
# that was suspended meanwhile asks again.
_GRANT_S: typing.Final = 0.6
# Without a deadline of the caller, seconds.
_DEFAULT_REMAINING_S: typing.Final = 60.0
# A replica that says nothing for so long has hung, seconds; repeatable
# requests then go to another. Callers leave streams after two seconds.
_STREAM_SILENCE_S: typing.Final = 1.2
# The same for plain answers, as a part of the time left.
_PLAIN_SILENCE_PART: typing.Final = 0.4
# Replicas that may turn a request away before it is given up.
_MOST_EXCLUDED: typing.Final = 4
# Told to callers where nothing better is known, seconds.
_RETRY_UNKNOWN_S: typing.Final = 1.0

Ending: typing.TypeAlias = requestrecord.Ending


class AgeLimits(typing.NamedTuple):
    """Bounds of the data path, in seconds.

    A request that needs a key is not sent on a configuration that was
    confirmed longer than ``max_key_age_s`` ago; one is rejected for its
    key or route only on a configuration younger than ``max_reject_age_s``.
    """

    max_key_age_s: float
    max_reject_age_s: float


class Dependencies(typing.NamedTuple):
    """What an exchange works with."""

    header_codec: headercodec.HeaderCodec
    clock: clocks.Clock
    configuration: caches.ConfigurationCache
    requester: slotrequester.SlotRequester
    pool: client.ConnectionPool
    metrics: meters.Metrics
    settings: AgeLimits
    budgets: retrybudget.RetryBudgets
    has_left: abc.Callable[[str], bool]
    count_instances: abc.Callable[[], int]


class Exchange:
    """One request on its way."""

    def __init__(
        self,
        *,
        tools: Dependencies,
        request: messages.Request,
        reply: server.Reply,
        call: headercodec.ParsedRequest,
    ) -> None:
        """Begin with a request that was read whole."""
        self._tools = tools
        self._request = request
        self._call = call
        remaining_s = call.remaining_s
        if remaining_s is None:
            remaining_s = _DEFAULT_REMAINING_S
        self._caller_end_s = request.received_s + remaining_s
        self._end_s = self._caller_end_s
        self._trail = requestrecord.RequestRecord(
            request_id=call.request_id, started_s=request.received_s
        )
        self._relay = attempts.ResponseRelay(reply=reply, splitter=None)
        self._standing: routes.RouteMatch | None = None
        self._held: attempts.BufferedResponse | None = None

    @property
    def is_answered(self) -> bool:
        """Return whether the final answer has gone out."""
        return self._relay.reply.ended

    async def run(self) -> None:
        """Try until there is a final answer."""
        if not self._judge():
            return
        self._prepare()
        while not self.is_answered:
            verdict = await self._acquire()
            if verdict.is_error():
                self._take_denial(verdict.error)
                return
            await self._try_slot(verdict.ok)

    def log(self, ending: Ending) -> None:
        """Write the request's line and count it."""
        tools = self._tools
        now_s = tools.clock.read_monotonic()
        tools.metrics.count(
            'requests', outcome=ending.outcome, reason=ending.reason
        )
        tools.metrics.observe(
            'whole_answer',
            now_s - self._trail.started_s,
            outcome=ending.outcome,
        )
        self._trail.write(
            ending,
            now_s=now_s,
            age_s=tools.configuration.age_s(),
            allocator=tools.requester.allocator,
        )

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Answer finally; a status that means "not run" only where true."""
        if self._relay.reply.started:
            self.log(Ending(messages.OK, 'broken_off', reason))
            self._relay.reply.abort()
            return
        if self._trail.may_have_run and _is_promise(status):
            status = messages.BAD_GATEWAY
            retry_after_s = None
        fields = self._tools.header_codec.build_local_fields(
            self._call.request_id, retry_after_s
        )
        outcome = 'unknown' if self._trail.may_have_run else 'refused'
        self._tools.metrics.count('refusals', reason=reason, outcome=outcome)
        self.log(Ending(status, outcome, reason))
        self._relay.reply.send(status, fields, b'')

    def _judge(self) -> bool:
        """Check the request against the configuration in force."""
        belief = self._tools.configuration
        current = belief.current
        if current is None:
            self.refuse(messages.UNAVAILABLE, 'no_configuration', None)
            return False
        if current.version != self._trail.version:
            found = routes.match_request(
                current,
                host=self._call.host,
                path=self._call.path,
                key=self._call.key,
            )
            self._trail.version = current.version
            if isinstance(found, routes.Rejection):
                self._reject(found)
                return False
            self._stand(found)
        return self._has_fresh_key()

    def _reject(self, rejection: routes.Rejection) -> None:
        age_s = self._tools.configuration.age_s()
        if age_s > self._tools.settings.max_reject_age_s:
            self.refuse(messages.UNAVAILABLE, 'stale_configuration', None)
        elif rejection is routes.Rejection.NO_ROUTE:
            self.refuse(messages.NOT_FOUND, rejection.value, None)
        else:
            self.refuse(messages.UNAUTHORIZED, rejection.value, None)

    def _stand(self, standing: routes.RouteMatch) -> None:
        """Take what the configuration allows the request."""
        self._standing = standing
        line = self._trail
        line.route = standing.route.name
        line.rank = standing.rank
        line.service = routes.pick_service(
            standing.route, self._call.request_id
        )
        if standing.customer is not None:
            line.customer = standing.customer.name

    def _has_fresh_key(self) -> bool:
        if self._find_standing().customer is None:
            return True
        age_s = self._tools.configuration.age_s()
        if age_s <= self._tools.settings.max_key_age_s:
            return True
        self.refuse(messages.UNAVAILABLE, 'stale_configuration', None)
        return False

    def _find_standing(self) -> routes.RouteMatch:
        assert self._standing is not None
        return self._standing

    def _prepare(self) -> None:
        route = self._find_standing().route
        self._end_s = min(
            self._caller_end_s, self._trail.started_s + route.timeout_s
        )
        if route.route_type is routes.RouteType.STREAM_RESUMABLE:
            self._relay.splitter = events.EventSplitter(
                last_id=self._call.last_event_id
            )
        budget = self._tools.budgets.find(self._trail.service)
        budget.note_request(self._tools.clock.read_monotonic())

    def _build_wanted(self) -> slotmessages.RequestSpec:
        standing = self._find_standing()
        now_s = self._tools.clock.read_monotonic()
        line = self._trail
        first = not line.sends and not line.excluded
        due_s = line.started_s + standing.route.objective_s
        return slotmessages.RequestSpec(
            request_id=line.request_id,
            service=line.service,
            customer=line.customer,
            tier=standing.rank,
            prompt_tokens=self._call.prompt_tokens,
            objective_left_s=due_s - now_s,
            remaining_s=self._find_start_end_s() - now_s,
            cost=self._count_cost() if first else 0,
            excluded=tuple(line.excluded),
        )

    async def _acquire(self) -> slotrequester.Decision:
        asked_s = self._tools.clock.read_monotonic()
        verdict = await self._tools.requester.acquire(self._build_wanted())
        self._tools.metrics.observe(
            'waiting',
            self._tools.clock.read_monotonic() - asked_s,
            outcome='granted' if verdict.is_ok() else 'refused',
        )
        return verdict

    def _find_start_end_s(self) -> float:
        """Return when a slot is of no use to the caller any more."""
        route = self._find_standing().route
        end_s = self._end_s - _ANSWER_MARGIN_S
        if not route.route_type.is_stream or self._trail.runs:
            return end_s
        silent_s = self._trail.started_s + route.max_silence_s
        return min(end_s, silent_s - _LEAVE_MARGIN_S)

    def _count_cost(self) -> float:
        customer = self._find_standing().customer
        if customer is None:
            return 0
        if not customer.counts_tokens:
            return 1
        if self._call.has_tokens:
            return self._call.prompt_tokens + self._call.output_tokens
        return customer.default_cost

    async def _try_slot(self, slot: slotrequester.Slot) -> None:
        """Use a slot and give it back with what was met there."""
        if self._trail.granted_s is None:
            self._trail.granted_s = slot.granted_s
        reading: slotmessages.Reading | None = None
        try:
            reading = await self._use_slot(slot)
        finally:
            self._tools.requester.release(
                self._call.request_id, reading=reading
            )

    async def _use_slot(
        self, slot: slotrequester.Slot
    ) -> slotmessages.Reading | None:
        """Send the request to a replica and take what comes."""
        self._trail.replica = slot.replica
        repeatable = self._find_standing().route.route_type.is_repeatable
        opened = await self._tools.pool.open(
            slot.address,
            timeout_s=_CONNECT_TIMEOUT_S,
            max_idle_s=_REPEATABLE_IDLE_S if repeatable else _ONCE_IDLE_S,
        )
        if opened.is_error():
            self._trail.exclude('connect_failed')
            self._check_excluded()
            return _build_reading(slotallocator.REFUSED)
        connection = opened.ok
        if not self._may_send(slot):
            self._tools.pool.release(connection)
            return None
        attempt = self._send(connection, slot.replica)
        try:
            outcome = await self._wait(attempt)
        finally:
            if not attempt.done.done():
                connection.abort()
            self._tools.pool.release(connection)
        return self._take_result(attempt, outcome)

    def _may_send(self, slot: slotrequester.Slot) -> bool:
        """Check all that may have changed, right before the first byte."""
        service = self._trail.service
        now_s = self._tools.clock.read_monotonic()
        if now_s >= self._end_s - _ANSWER_MARGIN_S:
            self._give_up('deadline')
            return False
        if not self._judge() or service != self._trail.service:
            return False
        if self._tools.has_left(slot.replica):
            self._trail.exclude('has_left')
            return False
        if now_s - slot.granted_s > _GRANT_S:
            self._trail.last_failure = 'grant_lapsed'
            return False
        if self._trail.sends and not self._may_repeat(now_s):
            self._tools.metrics.count('retries_denied', reason='budget')
            self._give_up('retry_budget')
            return False
        return True

    def _may_repeat(self, now_s: float) -> bool:
        """Count a repeat if the instance's share of the budget allows it."""
        return self._tools.budgets.find(self._trail.service).take(
            now_s, instance_count=self._tools.count_instances()
        )

    def _send(
        self, connection: client.Connection, replica: str
    ) -> attempts.Attempt:
        self._trail.sends += 1
        splitter = self._relay.splitter
        last_id = self._call.last_event_id
        if splitter is not None:
            splitter.discard_partial()
            last_id = splitter.last_id
        attempt = attempts.Attempt(
            call=self._call,
            header_codec=self._tools.header_codec,
            relay=self._relay,
            is_stream=self._find_standing().route.route_type.is_stream,
            clock=self._tools.clock,
        )
        onward = headercodec.ForwardContext(
            replica=replica,
            customer=self._trail.customer or None,
            remaining_s=self._end_s - self._tools.clock.read_monotonic(),
            last_event_id=last_id,
        )
        attempts.follow_writable(connection, self._relay.reply)
        connection.begin(
            self._tools.header_codec.build_upstream_request(
                self._request, onward
            ),
            attempt,
            bodiless=self._request.method == b'HEAD',
        )
        return attempt

    async def _wait(self, attempt: attempts.Attempt) -> attempts.Result | None:
        """Return the result, or None once there is no sense in waiting."""
        silence_s = self._find_silence_s()
        while not attempt.done.done():
            now_s = self._tools.clock.read_monotonic()
            left_s = self._end_s - _ANSWER_MARGIN_S - now_s
            quiet_s = attempt.last_s + silence_s - now_s
            wait_s = min(left_s, quiet_s)
            if wait_s <= 0:
                return None
            await asyncio.wait((attempt.done,), timeout=wait_s)
        return attempt.done.result()

    def _find_silence_s(self) -> float:
        route = self._find_standing().route
        if not route.route_type.is_repeatable or not self._has_runs_left(1):
            return float('inf')
        if route.route_type.is_stream:
            return max(_STREAM_SILENCE_S, route.objective_s)
        left_s = self._end_s - self._tools.clock.read_monotonic()
        return max(route.objective_s, left_s * _PLAIN_SILENCE_PART)

    def _take_result(
        self, attempt: attempts.Attempt, outcome: attempts.Result | None
    ) -> slotmessages.Reading:
        line = self._trail
        if attempt.has_body:
            self._tools.metrics.observe('upstream_first_byte', attempt.first_s)
            line.note_first_byte(attempt.begun_s + attempt.first_s)
        if outcome is attempts.Result.NOT_RUN:
            line.exclude(f'not_run_{attempt.status}')
            self._check_excluded()
            return _build_reading(slotallocator.REFUSED)
        line.runs += 1
        if outcome is attempts.Result.DELIVERED:
            self._deliver(attempt)
            return slotmessages.Reading(
                slotallocator.ANSWERED,
                attempt.first_s,
                attempt.slowness,
            )
        line.exclude(outcome.value if outcome else 'silent')
        if outcome is attempts.Result.FAILED:
            self._held = attempt.held
        self._repeat_or_end()
        answered = outcome is attempts.Result.FAILED
        return _build_reading(
            slotallocator.ERROR if answered else slotallocator.FAILED
        )

    def _deliver(self, attempt: attempts.Attempt) -> None:
        line = self._trail
        if line.first_byte_s is not None and line.rank is not None:
            self._tools.metrics.observe(
                'first_byte',
                line.first_byte_s - line.started_s,
                tier=line.rank,
            )
        self.log(Ending(attempt.status, 'answered', ''))
        if attempt.held is not None:
            self._relay.reply.send(*attempt.held)

    def _repeat_or_end(self) -> None:
        """Leave the request to another attempt, or answer it now."""
        now_s = self._tools.clock.read_monotonic()
        in_time = now_s < self._end_s - _ANSWER_MARGIN_S
        repeatable = self._find_standing().route.route_type.is_repeatable
        if repeatable and in_time and self._has_runs_left(0):
            return
        self._give_up('upstream' if in_time else 'deadline')

    def _has_runs_left(self, coming: int) -> bool:
        most = self._find_standing().route.max_attempts
        return self._trail.runs + coming < most

    def _check_excluded(self) -> None:
        """End a request that too many replicas have turned away."""
        if len(self._trail.excluded) >= _MOST_EXCLUDED:
            self._give_up('upstreams_refuse')

    def _take_denial(self, denial: slotrequester.Refusal) -> None:
        if denial.reason == 'quota':
            self.refuse(
                messages.TOO_MANY_REQUESTS, 'quota', denial.retry_after_s
            )
        else:
            self._give_up(denial.reason, denial.retry_after_s)

    def _give_up(self, reason: str, retry_after_s: float = 0) -> None:
        """Answer finally, by what is known of the request's fate."""
        held = self._held
        unsent = not self._relay.reply.started
        if held and unsent and not _is_promise(held.status):
            self.log(Ending(held.status, 'failed', 'upstream_status'))
            self._relay.reply.send(*held)
        elif self._trail.may_have_run:
            late = reason == 'deadline'
            status = messages.GATEWAY_TIMEOUT if late else messages.BAD_GATEWAY
            self.refuse(status, reason, None)
        else:
            self.refuse(
                messages.UNAVAILABLE, reason, retry_after_s or _RETRY_UNKNOWN_S
            )


def _build_reading(outcome: int) -> slotmessages.Reading:
    return slotmessages.Reading(outcome, 0, 0)


def _is_promise(status: int) -> bool:
    """Return whether a status says that the request has not run."""
    return status in {
        messages.REQUEST_TIMEOUT,
        messages.MISDIRECTED,
        messages.TOO_MANY_REQUESTS,
        messages.UNAVAILABLE,
    }
