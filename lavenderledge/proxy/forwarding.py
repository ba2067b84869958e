"""A request's way: judged, placed, sent, relayed, repeated where allowed."""

import asyncio
import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import beliefs, slotallocator, slotrequester
from lavenderledge.daemon import metrics as meters
from lavenderledge.http1 import client, messages, server
from lavenderledge.peers import slots as slotmessages
from lavenderledge.policy import retrybudget, routes
from lavenderledge.proxy import attempts, calls, events

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
_PLAIN_SILENCE_PART: typing.Final = 0.4
_MOST_SENDS: typing.Final = 4
_RETRY_UNKNOWN_S: typing.Final = 1.0
_LOGGER = logging.getLogger(__name__)


class Settings(typing.NamedTuple):
    """Bounds of the data path, in seconds.

    A request that needs a key is not sent on a configuration that was
    confirmed longer than ``most_key_age_s`` ago; one is rejected for its
    key or route only on a configuration younger than ``most_reject_age_s``.
    """

    most_key_age_s: float
    most_reject_age_s: float
    budget: retrybudget.Budget


class Ending(typing.NamedTuple):
    """How a request ended, for its log line."""

    status: int
    outcome: str
    reason: str


class Trail:
    """What happened to one request so far."""

    def __init__(self, *, started_s: float, end_s: float) -> None:
        """Nothing was sent yet; ``end_s`` is when it must be answered."""
        self.started_s = started_s
        self.end_s = end_s
        self.sends = 0
        self.runs = 0
        self.excluded: list[str] = []
        self.replica = ''
        self.last_failure = ''
        self.granted_s: float | None = None
        self.first_byte_s: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether some replica may have begun to work on it."""
        return self.runs > 0


class Forwarder:
    """Serves callers' requests."""

    def __init__(
        self,
        *,
        settings: Settings,
        dialect: calls.Dialect,
        clock: clocks.Clock,
        configuration: beliefs.ConfigurationBelief,
        requester: slotrequester.SlotRequester,
        pool: client.Pool,
        metrics: meters.Metrics,
        count_instances: abc.Callable[[], int],
    ) -> None:
        """Serve with the given beliefs and slots."""
        self.refuses_all = False
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._configuration = configuration
        self._requester = requester
        self._pool = pool
        self._metrics = metrics
        self._count_instances = count_instances
        self._budgets: dict[str, retrybudget.RetryBudget] = {}

    async def serve(
        self, request: messages.Request, reply: server.Reply
    ) -> None:
        """Answer one request."""
        call = self._dialect.read_call(request)
        if isinstance(call, calls.Malformed):
            self._metrics.count('refusals', reason='malformed')
            reply.send(call.status, (), b'')
            return
        exchange = _Exchange(
            forwarder=self, request=request, reply=reply, call=call
        )
        try:
            await exchange.run()
        except asyncio.CancelledError:
            exchange.log(Ending(0, 'caller_left', ''))
            raise

    def change_settings(self, settings: Settings) -> None:
        """Take other bounds from now on."""
        self._settings = settings

    def find_budget(self, service: str) -> retrybudget.RetryBudget:
        """Return a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = retrybudget.RetryBudget(budget=self._settings.budget)
            self._budgets[service] = budget
        return budget

    def count_instances(self) -> int:
        """Return how many instances share what is fleet-wide."""
        return self._count_instances()

    @property
    def settings(self) -> Settings:
        """Return the bounds."""
        return self._settings

    @property
    def dialect(self) -> calls.Dialect:
        """Return how callers and replicas speak."""
        return self._dialect

    @property
    def clock(self) -> clocks.Clock:
        """Return the clock that counts suspensions."""
        return self._clock

    @property
    def configuration(self) -> beliefs.ConfigurationBelief:
        """Return the belief in the configuration."""
        return self._configuration

    @property
    def requester(self) -> slotrequester.SlotRequester:
        """Return whom to ask for slots."""
        return self._requester

    @property
    def pool(self) -> client.Pool:
        """Return the connections to replicas."""
        return self._pool

    @property
    def metrics(self) -> meters.Metrics:
        """Return the metrics."""
        return self._metrics


class _Exchange:
    """One request on its way."""

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        request: messages.Request,
        reply: server.Reply,
        call: calls.Call,
    ) -> None:
        self._forwarder = forwarder
        self._clock = forwarder.clock
        self._request = request
        self._call = call
        remaining_s = call.remaining_s
        if remaining_s is None:
            remaining_s = _DEFAULT_REMAINING_S
        self._trail = Trail(
            started_s=request.received_s,
            end_s=request.received_s + remaining_s,
        )
        self._caller_end_s = self._trail.end_s
        self._relay = attempts.Relay(reply=reply, splitter=None)
        self._standing: routes.Standing | None = None
        self._service = ''
        self._version = 0

    async def run(self) -> None:
        """Try until there is a final answer."""
        if self._forwarder.refuses_all:
            self._refuse(messages.UNAVAILABLE, 'stopping', 0)
            return
        if not self._judge():
            return
        self._prepare()
        while not self._relay.reply.ended:
            if self._standing is None or not await self._try_once():
                return

    def log(self, ending: Ending) -> None:
        """Write the request's line and count it."""
        trail = self._trail
        now_s = self._clock.read_monotonic()
        route = '' if self._standing is None else self._standing.route.name
        self._forwarder.metrics.count(
            'requests', outcome=ending.outcome, reason=ending.reason
        )
        logs.write_event(
            _LOGGER,
            'request',
            id=self._call.request_id,
            route=route,
            service=self._service,
            customer=self._customer_name() or '',
            rank='' if self._standing is None else self._standing.rank,
            status=ending.status,
            outcome=ending.outcome,
            reason=ending.reason,
            replica=trail.replica,
            sends=trail.sends,
            runs=trail.runs,
            failure=trail.last_failure,
            waited_ms=_count_ms(trail.granted_s, trail.started_s),
            first_ms=_count_ms(trail.first_byte_s, trail.started_s),
            total_ms=_count_ms(now_s, trail.started_s),
            version=self._version,
            age_ms=_count_ms(self._forwarder.configuration.age_s(), 0),
            allocator=self._forwarder.requester.allocator,
        )

    def _judge(self) -> bool:
        """Check the request against the configuration in force."""
        belief = self._forwarder.configuration
        current = belief.current
        settings = self._forwarder.settings
        if current is None:
            self._refuse(messages.UNAVAILABLE, 'no_configuration', None)
            return False
        if current.version == self._version:
            return self._has_fresh_key(belief)
        found = routes.judge(
            current,
            host=self._call.host,
            path=self._call.path,
            key=self._call.key,
        )
        self._version = current.version
        if isinstance(found, routes.Rejection):
            self._standing = None
            if belief.age_s() > settings.most_reject_age_s:
                self._refuse(messages.UNAVAILABLE, 'stale_configuration', None)
            elif found is routes.Rejection.NO_ROUTE:
                self._refuse(messages.NOT_FOUND, found.value, None)
            else:
                self._refuse(messages.UNAUTHORIZED, found.value, None)
            return False
        self._standing = found
        self._service = routes.pick_service(found.route, self._call.request_id)
        return self._has_fresh_key(belief)

    def _has_fresh_key(self, belief: beliefs.ConfigurationBelief) -> bool:
        standing = self._standing
        needs_key = standing is not None and standing.customer is not None
        if not needs_key:
            return True
        if belief.age_s() <= self._forwarder.settings.most_key_age_s:
            return True
        self._refuse(messages.UNAVAILABLE, 'stale_configuration', None)
        return False

    def _prepare(self) -> None:
        assert self._standing is not None
        route = self._standing.route
        trail = self._trail
        trail.end_s = min(trail.end_s, trail.started_s + route.timeout_s)
        if route.repetition is routes.Repetition.STREAM_RESUMABLE:
            self._relay.splitter = events.EventSplitter(
                last_id=self._call.last_event_id
            )
        self._forwarder.find_budget(self._service).note_request(
            self._clock.read_monotonic()
        )

    async def _try_once(self) -> bool:
        """Wait for a slot and use it; False once there is a final answer."""
        verdict = await self._forwarder.requester.acquire(self._build_wanted())
        if verdict.is_error():
            self._take_denial(verdict.error)
            return False
        trail = self._trail
        if trail.granted_s is None:
            trail.granted_s = self._clock.read_monotonic()
        reading: slotmessages.Reading | None = None
        try:
            reading = await self._use_slot(verdict.ok)
        finally:
            self._forwarder.requester.release(
                self._call.request_id, reading=reading
            )
        return not self._relay.reply.ended

    def _build_wanted(self) -> slotmessages.Wanted:
        standing = self._standing
        assert standing is not None
        now_s = self._clock.read_monotonic()
        trail = self._trail
        first = not trail.sends and not trail.excluded
        return slotmessages.Wanted(
            request_id=self._call.request_id,
            service=self._service,
            customer=self._customer_name() or '',
            tier=standing.rank,
            prompt_tokens=self._call.prompt_tokens,
            output_tokens=self._call.output_tokens,
            objective_left_s=trail.started_s
            + standing.route.objective_s
            - now_s,
            remaining_s=self._find_start_end_s() - now_s,
            cost=self._count_cost() if first else 0,
            excluded=tuple(trail.excluded),
            parts=self._call.parts,
        )

    def _find_start_end_s(self) -> float:
        """Return when a slot is of no use to the caller any more."""
        standing = self._standing
        assert standing is not None
        end_s = self._trail.end_s - _ANSWER_MARGIN_S
        if not standing.route.repetition.is_stream or self._trail.runs:
            return end_s
        silent_s = self._trail.started_s + standing.route.most_silence_s
        return min(end_s, silent_s - _LEAVE_MARGIN_S)

    def _count_cost(self) -> float:
        standing = self._standing
        if standing is None or standing.customer is None:
            return 0
        if not standing.customer.counts_tokens:
            return 1
        if self._call.has_tokens:
            return self._call.prompt_tokens + self._call.output_tokens
        return standing.customer.default_cost

    def _customer_name(self) -> str | None:
        standing = self._standing
        if standing is None or standing.customer is None:
            return None
        return standing.customer.name

    async def _use_slot(
        self, slot: slotrequester.Slot
    ) -> slotmessages.Reading | None:
        """Send the request to a replica and take what comes."""
        trail = self._trail
        trail.replica = slot.replica
        once = not self._repetition().is_repeatable
        opened = await self._forwarder.pool.open(
            slot.address,
            timeout_s=_CONNECT_TIMEOUT_S,
            most_idle_s=_ONCE_IDLE_S if once else _REPEATABLE_IDLE_S,
        )
        if opened.is_error():
            trail.excluded.append(slot.replica)
            trail.last_failure = 'connect_failed'
            self._check_sends()
            return _build_reading(slotallocator.REFUSED)
        connection = opened.ok
        attempt: attempts.Attempt | None = None
        try:
            if not self._may_send(slot):
                return None
            attempt = self._send(connection, slot.replica)
            outcome = await self._wait(attempt)
        finally:
            if attempt is not None and not attempt.done.done():
                connection.abort()
            self._forwarder.pool.give_back(connection)
        return self._take_result(attempt, outcome)

    def _may_send(self, slot: slotrequester.Slot) -> bool:
        """Check all that may have changed, right before the first byte."""
        service = self._service
        if self._clock.read_monotonic() >= self._trail.end_s - _ANSWER_MARGIN_S:
            self._give_up('deadline')
            return False
        known = self._version
        if not self._judge():
            return False
        if known != self._version and service != self._service:
            return False
        if self._clock.read_monotonic() - slot.granted_s > _GRANT_S:
            self._trail.last_failure = 'grant_lapsed'
            return False
        if not self._trail.sends:
            return True
        budget = self._forwarder.find_budget(self._service)
        if budget.take(
            self._clock.read_monotonic(),
            instances=self._forwarder.count_instances(),
        ):
            return True
        self._forwarder.metrics.count('retries_denied', reason='budget')
        self._give_up('retry_budget')
        return False

    def _send(
        self, connection: client.Connection, replica: str
    ) -> attempts.Attempt:
        trail = self._trail
        trail.sends += 1
        splitter = self._relay.splitter
        last_id = self._call.last_event_id
        if splitter is not None:
            splitter.drop_partial()
            last_id = splitter.last_id
        attempt = attempts.Attempt(
            call=self._call,
            dialect=self._forwarder.dialect,
            relay=self._relay,
            is_stream=self._repetition().is_stream,
            clock=self._clock,
        )
        onward = calls.Onward(
            replica=replica,
            customer=self._customer_name(),
            remaining_s=min(trail.end_s, self._caller_end_s)
            - self._clock.read_monotonic(),
            last_event_id=last_id,
        )
        attempts.follow_writable(connection, self._relay.reply)
        connection.begin(
            self._forwarder.dialect.write_onward(self._request, onward),
            attempt,
            bodiless=self._request.method == b'HEAD',
        )
        return attempt

    async def _wait(self, attempt: attempts.Attempt) -> attempts.Result | None:
        """Return the result, or None once there is no sense in waiting."""
        silence_s = self._find_silence_s()
        while not attempt.done.done():
            now_s = self._clock.read_monotonic()
            left_s = self._trail.end_s - _ANSWER_MARGIN_S - now_s
            quiet_s = attempt.last_s + silence_s - now_s
            wait_s = min(left_s, quiet_s)
            if wait_s <= 0:
                return None
            await asyncio.wait((attempt.done,), timeout=wait_s)
        return attempt.done.result()

    def _find_silence_s(self) -> float:
        standing = self._standing
        assert standing is not None
        repetition = standing.route.repetition
        if not repetition.is_repeatable or not self._has_runs_left(1):
            return float('inf')
        if repetition.is_stream:
            return max(_STREAM_SILENCE_S, standing.route.objective_s)
        left_s = self._trail.end_s - self._clock.read_monotonic()
        return max(standing.route.objective_s, left_s * _PLAIN_SILENCE_PART)

    def _take_result(
        self, attempt: attempts.Attempt, outcome: attempts.Result | None
    ) -> slotmessages.Reading:
        trail = self._trail
        if attempt.pieces and trail.first_byte_s is None:
            trail.first_byte_s = attempt.begun_s + attempt.first_s
        if outcome is attempts.Result.NOT_RUN:
            trail.excluded.append(trail.replica)
            trail.last_failure = f'not_run_{attempt.status}'
            self._check_sends()
            return _build_reading(slotallocator.REFUSED)
        trail.runs += 1
        if outcome is attempts.Result.DELIVERED:
            self._deliver(attempt)
            return slotmessages.Reading(
                slotallocator.ANSWERED,
                attempt.first_s,
                attempt.read_gap_s() if self._repetition().is_stream else 0,
                attempt.pieces,
                attempt.slowness,
            )
        trail.excluded.append(trail.replica)
        trail.last_failure = 'silent' if outcome is None else outcome.value
        self._repeat_or_end(attempt)
        return _build_reading(slotallocator.FAILED)

    def _deliver(self, attempt: attempts.Attempt) -> None:
        if attempt.held is not None:
            self._relay.reply.send(*attempt.held)
        self.log(Ending(attempt.status, 'answered', ''))

    def _repeat_or_end(self, attempt: attempts.Attempt) -> None:
        """Leave the request to another attempt, or answer it now."""
        now_s = self._clock.read_monotonic()
        in_time = now_s < self._trail.end_s - _ANSWER_MARGIN_S
        repeatable = self._repetition().is_repeatable
        if repeatable and in_time and self._has_runs_left(0):
            return
        held = attempt.held
        passable = held is not None and not _is_promise(held.status)
        if passable and held is not None and not self._relay.reply.started:
            if held.status // 100 != 2:
                self._relay.reply.send(*held)
                self.log(Ending(held.status, 'failed', 'upstream_status'))
                return
        self._give_up('upstream' if in_time else 'deadline')

    def _has_runs_left(self, coming: int) -> bool:
        assert self._standing is not None
        most = self._standing.route.most_replicas
        return self._trail.runs + coming < most

    def _check_sends(self) -> None:
        """End a request that too many replicas have turned away."""
        if len(self._trail.excluded) >= _MOST_SENDS:
            self._give_up('upstreams_refuse')

    def _take_denial(self, denial: slotrequester.Denial) -> None:
        if denial.reason == 'quota' and not self._trail.may_have_run:
            self._refuse(
                messages.TOO_MANY_REQUESTS, 'quota', denial.retry_after_s
            )
        else:
            self._give_up(denial.reason, denial.retry_after_s)

    def _give_up(self, reason: str, retry_after_s: float | None = None) -> None:
        """Answer finally, by what is known of the request's fate."""
        if not self._trail.may_have_run:
            self._refuse(
                messages.UNAVAILABLE, reason, retry_after_s or _RETRY_UNKNOWN_S
            )
            return
        if self._relay.reply.started:
            self.log(Ending(self._relay_status(), 'broken_off', reason))
            self._relay.reply.abort()
            return
        late = reason == 'deadline'
        status = messages.GATEWAY_TIMEOUT if late else messages.BAD_GATEWAY
        self._refuse(status, reason, None)

    def _refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        if self._relay.reply.started or self._trail.may_have_run:
            if self._relay.reply.started:
                self.log(Ending(self._relay_status(), 'broken_off', reason))
                self._relay.reply.abort()
                return
            if _is_promise(status):
                status = messages.BAD_GATEWAY
                retry_after_s = None
        fields = self._forwarder.dialect.write_own_fields(
            self._call.request_id, retry_after_s
        )
        self._relay.reply.send(status, fields, b'')
        outcome = 'unknown' if self._trail.may_have_run else 'refused'
        self._forwarder.metrics.count(
            'refusals', reason=reason, outcome=outcome
        )
        self.log(Ending(status, outcome, reason))

    def _relay_status(self) -> int:
        return messages.OK

    def _repetition(self) -> routes.Repetition:
        assert self._standing is not None
        return self._standing.route.repetition


def _build_reading(outcome: int) -> slotmessages.Reading:
    return slotmessages.Reading(outcome, 0, 0, 0, 0)


def _is_promise(status: int) -> bool:
    """Return whether a status says that the request has not run."""
    return status in {
        messages.REQUEST_TIMEOUT,
        messages.MISDIRECTED,
        messages.TOO_MANY_REQUESTS,
        messages.UNAVAILABLE,
    }


def _count_ms(end_s: float | None, begin_s: float) -> object:
    return '' if end_s is None else round((end_s - begin_s) * 1000, 1)
