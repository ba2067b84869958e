"""Handles one request: checks, places, sends, relays and may retry it."""

import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import caches, slotallocator, slotrequester
from lavenderledge.daemon import metrics as meters
from lavenderledge.http1 import client, messages, server
from lavenderledge.peers import bounds, slotmessages
from lavenderledge.policy import (
    crashevidence,
    memorybudget,
    replicamemory,
    retrybudget,
    routes,
)
from lavenderledge.proxy import (
    attempts,
    headercodec,
    hedging,
    identity,
    requestrecord,
)

# A final response is sent this long before the request's deadline.
_RESPONSE_MARGIN_S: typing.Final = 0.03
# A caller that is about to leave is answered this long before: the response
# takes time to reach it.
_LEAVE_MARGIN_S: typing.Final = 0.15
# A new connection takes one round trip; a replica that does not accept within
# this time is unreachable.
_CONNECT_TIMEOUT_S: typing.Final = 0.3
# A request that may run only once is sent on a recently used connection. An
# older one may have been closed by the replica unnoticed, and then it is
# unknown whether the request has run.
_ONCE_MAX_IDLE_S: typing.Final = 1.0
_REPEATABLE_MAX_IDLE_S: typing.Final = 60.0
# How long a grant is valid: it covers a slow connect, and a process that was
# suspended in between requests a new one.
_GRANT_LIFETIME_S: typing.Final = 0.6
# The timeout of a request without a deadline.
_DEFAULT_TIMEOUT_S: typing.Final = 60.0
# A replica without an event for this long may be hung, and a repeatable
# request is tried at another as well. Callers leave streams after 2 s or later.
_STREAM_SILENCE_TIMEOUT_S: typing.Final = 1.2
# The same as a fraction of the time after which the route's callers leave, for
# routes whose callers wait longer.
_STREAM_SILENCE_RATIO: typing.Final = 0.5
# The same for plain responses, as a fraction of the time left.
_PLAIN_SILENCE_RATIO: typing.Final = 0.4
# A request that this many replicas have rejected fails.
_MAX_EXCLUDED: typing.Final = 4
# Retry-After in responses to callers if there is no better estimate.
_DEFAULT_RETRY_AFTER_S: typing.Final = 1.0
_MILLISECONDS: typing.Final = 1000
_LOGGER = logging.getLogger(__name__)

Ending: typing.TypeAlias = requestrecord.Ending


class AgeLimits(typing.NamedTuple):
    """Maximum ages of the configuration, in seconds since its confirmation.

    Up to ``max_key_age_s``, requests that need a key are sent. Up to
    ``max_apply_age_s``, requests are rejected for their key or route, and are
    sent although a newer version is known to exist.
    """

    max_key_age_s: float
    max_apply_age_s: float


class Dependencies(typing.NamedTuple):
    """Objects that all exchanges of an instance share.

    ``confirm_replica`` gets a granted replica and the monotonic time at which
    it was listed, and returns whether it may get a request now.
    """

    header_codec: headercodec.HeaderCodec
    clock: clocks.Clock
    configuration: caches.ConfigurationCache
    requester: slotrequester.SlotRequester
    pool: client.ConnectionPool
    metrics: meters.Metrics
    age_limits: AgeLimits
    budgets: retrybudget.RetryBudgets
    confirm_replica: abc.Callable[[str, float], abc.Awaitable[bool]]
    count_instances: abc.Callable[[], int]
    availability_zone: str = ''


class Exchange:
    """Handles one request until its final response."""

    def __init__(
        self,
        *,
        deps: Dependencies,
        request: messages.Request,
        reply: server.Reply,
        parsed: headercodec.ParsedRequest,
    ) -> None:
        """Handle a request whose body has been read completely."""
        self._deps = deps
        self._request = request
        self._parsed = parsed
        remaining_s = parsed.remaining_s
        if remaining_s is None:
            remaining_s = _DEFAULT_TIMEOUT_S
        self._caller_deadline_s = request.received_s + remaining_s
        self._deadline_s = self._caller_deadline_s
        self._record = requestrecord.RequestRecord(
            request_id=parsed.request_id, started_s=request.received_s
        )
        running = hedging.RunningAttempts(clock=deps.clock)
        self._running = running
        # With a reference to the exchange, its body is kept until a collection.
        self._relay = attempts.ResponseRelay(
            reply=reply, is_alone=lambda: len(running) == 1
        )
        self._hedges = hedging.Hedges()
        self._match: routes.RouteMatch | None = None
        self._buffered: attempts.BufferedResponse | None = None
        self._last_progress_s = request.received_s
        self._shared_parts = frozenset(parsed.shared_parts)
        self._digest = ''

    @property
    def is_finished(self) -> bool:
        """Return whether the final response has been sent."""
        return self._relay.reply.ended

    async def run(self) -> None:
        """Send the request, with retries, until there is a final response."""
        if not self._check_configuration():
            return
        self._apply_route()
        try:
            while not self.is_finished and self._check_quarantine():
                await self._try_replica()
                if self.is_finished:
                    self._hedges.cancel_preparation()
                await self._hedges.finish()
        finally:
            await self._hedges.cancel()

    def log(self, ending: Ending) -> None:
        """Log and count the request."""
        deps = self._deps
        now_s = deps.clock.read_monotonic()
        deps.metrics.count(
            'requests', outcome=ending.outcome, reason=ending.reason
        )
        deps.metrics.observe(
            'whole_answer',
            now_s - self._record.started_s,
            outcome=ending.outcome,
        )
        self._record.write(
            ending,
            now_s=now_s,
            age_s=deps.configuration.age_s(),
            allocator=deps.requester.allocator,
            digest=self._digest,
        )

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Send an error as the final response, unless one may still come.

        A request that may have run never gets a status that means "not run".
        """
        if self._may_be_answered(reason):
            return
        if self._relay.reply.started:
            self._break_off(reason)
            return
        if self._record.may_have_run and _means_not_run(status):
            status = messages.BAD_GATEWAY
            retry_after_s = None
        fields = self._deps.header_codec.build_local_fields(
            self._parsed.request_id, retry_after_s
        )
        outcome = 'unknown' if self._record.may_have_run else 'refused'
        self._deps.metrics.count('refusals', reason=reason, outcome=outcome)
        self.log(Ending(status, outcome, reason))
        self._relay.reply.send(status, fields, b'')

    @property
    def is_behind_another(self) -> bool:
        """Return whether its caller still reads an earlier answer."""
        return self._relay.reply.is_behind_another

    @property
    def has_begun(self) -> bool:
        """Return whether a replica may have started to process it."""
        return self._record.may_have_run or bool(self._running)

    def describe(self) -> memorybudget.Holding:
        """Return what is held for the request."""
        kinds = memorybudget.Kind
        return memorybudget.Holding(
            kinds.RUNNING if self.has_begun else kinds.WAITING,
            self._record.rank or 0,
            self._relay.reply.held_bytes,
        )

    def abandon(
        self, reason: str, status: int = messages.GATEWAY_TIMEOUT
    ) -> None:
        """End the request now; whether it has run is not known."""
        if self.is_finished:
            return
        self._hedges.cancel_preparation()
        if self._relay.reply.started:
            self._break_off(reason)
            return
        fields = self._deps.header_codec.build_local_fields(
            self._parsed.request_id, None
        )
        self._deps.metrics.count('refusals', reason=reason, outcome='unknown')
        self.log(Ending(status, 'unknown', reason))
        self._relay.reply.send(status, fields, b'')

    def _break_off(self, reason: str) -> None:
        """Abort a response that has begun and can't be completed."""
        self.log(Ending(messages.OK, 'broken_off', reason))
        self._relay.reply.abort()

    def _may_be_answered(self, reason: str) -> bool:
        """Return whether a response was given, or may come from a replica.

        Then ``reason`` only keeps another attempt from being sent.
        """
        if self.is_finished:
            return True
        if not self._running:
            return False
        self._deps.metrics.count('hedges', outcome='denied')
        self._write_event('hedge_denied', reason=reason)
        return True

    def _check_configuration(self) -> bool:
        """Check the request by the current configuration; False if refused."""
        cache = self._deps.configuration
        current = cache.current
        if current is None:
            self.refuse(messages.UNAVAILABLE, 'no_configuration', None)
            return False
        if current.version != self._record.version:
            outcome = routes.match_request(
                current,
                host=self._parsed.host,
                path=self._parsed.path,
                key=self._parsed.key,
            )
            if isinstance(outcome, routes.Rejection):
                self._reject(outcome, current.version)
                return False
            self._record.version = current.version
            self._set_match(outcome)
        return self._check_age()

    def _reject(self, rejection: routes.Rejection, version: int) -> None:
        if self._may_be_answered(rejection.value):
            return
        self._record.version = version
        age_s = self._deps.configuration.age_s()
        if age_s > self._deps.age_limits.max_apply_age_s:
            self.refuse(messages.UNAVAILABLE, 'stale_configuration', None)
        elif rejection is routes.Rejection.NO_ROUTE:
            self.refuse(messages.NOT_FOUND, rejection.value, None)
        else:
            self.refuse(messages.UNAUTHORIZED, rejection.value, None)

    def _set_match(self, match: routes.RouteMatch) -> None:
        """Set the route that the request matches, and its customer."""
        self._match = match
        record = self._record
        record.route = match.route.name
        record.rank = match.rank
        record.service = routes.pick_service(
            match.route, self._parsed.request_id
        )
        # An earlier version may have had another customer for the key.
        record.customer = '' if match.customer is None else match.customer.name
        if not self._digest:
            self._digest = identity.compute_digest(
                self._request, host=self._parsed.host, customer=record.customer
            )
        if not self._running and not self._relay.reply.started:
            route_type = match.route.route_type
            is_resumable = route_type is routes.RouteType.STREAM_RESUMABLE
            self._relay.is_resumable = is_resumable
            self._relay.last_event_id = self._parsed.last_event_id

    def _check_age(self) -> bool:
        """Refuse a request that the configuration is too old to send."""
        cache = self._deps.configuration
        limits = self._deps.age_limits
        needs_key = self._get_match().customer is not None
        if cache.is_superseded(limits.max_apply_age_s):
            self.refuse(messages.UNAVAILABLE, 'superseded_configuration', None)
            return False
        if needs_key and cache.age_s() > limits.max_key_age_s:
            self.refuse(messages.UNAVAILABLE, 'stale_configuration', None)
            return False
        return True

    def _check_quarantine(self) -> bool:
        """Refuse what crashes replicas; return whether it may run."""
        requester = self._deps.requester
        left_s = max(
            requester.find_quarantine_s(
                self._record.service, self._shared_parts
            ),
            requester.find_request_quarantine_s(self._digest),
        )
        if not left_s:
            return True
        self._give_up('quarantined', left_s)
        return False

    def _get_match(self) -> routes.RouteMatch:
        assert self._match is not None
        return self._match

    def _apply_route(self) -> None:
        route = self._get_match().route
        self._deadline_s = min(
            self._caller_deadline_s, self._record.started_s + route.timeout_s
        )
        budget = self._deps.budgets.find(self._record.service)
        budget.note_request(self._deps.clock.read_monotonic())

    def _build_spec(self, slot_id: str) -> slotmessages.RequestSpec:
        match = self._get_match()
        now_s = self._deps.clock.read_monotonic()
        record = self._record
        is_first = not record.sends and not record.excluded
        due_s = record.started_s + match.route.objective_s
        if self._relay.reply.started:
            # The caller already has a part, and leaves if no more follows.
            due_s = self._last_progress_s + match.route.max_silence_s
        return slotmessages.RequestSpec(
            request_id=slot_id,
            service=record.service,
            customer=record.customer,
            tier=match.rank,
            prompt_tokens=self._parsed.prompt_tokens,
            objective_left_s=due_s - now_s,
            remaining_s=self._find_start_deadline_s() - now_s,
            cost=self._compute_cost() if is_first else 0,
            excluded=(*self._running.replicas, *record.excluded),
            parts=self._parsed.shared_parts,
            output_tokens=replicamemory.estimate_output_tokens(
                self._parsed.hint_tokens,
                self._parsed.output_tokens if self._parsed.has_tokens else None,
            ),
            pause_target_s=match.route.pause_target_s,
            availability_zone=self._deps.availability_zone,
            route=record.route[: bounds.MAX_CHARACTERS],
            is_repeat=not is_first,
        )

    async def _try_replica(self) -> None:
        """Send the request to a replica, if one is granted."""
        slot_id = self._deps.requester.name_slot(self._parsed.request_id)
        decision = await self._acquire(slot_id)
        if decision.is_error():
            self._handle_refusal(decision.error)
        else:
            await self._try_slot(slot_id, decision.ok)

    async def _acquire(self, slot_id: str) -> slotrequester.Decision:
        requested_s = self._deps.clock.read_monotonic()
        spec = self._build_spec(slot_id)
        decision = await self._deps.requester.acquire(spec)
        self._deps.metrics.observe(
            'waiting',
            self._deps.clock.read_monotonic() - requested_s,
            outcome='granted' if decision.is_ok() else 'refused',
        )
        return decision

    def _find_start_deadline_s(self) -> float:
        """Return the time after which starting the request is useless."""
        route = self._get_match().route
        deadline_s = self._deadline_s - _RESPONSE_MARGIN_S
        may_have_run = self._record.may_have_run or self._running
        if not route.route_type.is_stream or may_have_run:
            return deadline_s
        leave_s = self._record.started_s + route.max_silence_s
        return min(deadline_s, leave_s - _LEAVE_MARGIN_S)

    def _compute_cost(self) -> float:
        customer = self._get_match().customer
        if customer is None:
            return 0
        parsed = self._parsed
        return customer.compute_cost(
            parsed.prompt_tokens + parsed.output_tokens
            if parsed.has_tokens
            else None
        )

    async def _try_slot(self, slot_id: str, slot: slotrequester.Slot) -> None:
        """Use a slot and release it with a reading of the replica."""
        if self._record.granted_s is None:
            self._record.granted_s = slot.granted_s
        reading: slotmessages.Reading | None = None
        try:
            reading = await self._use_slot(slot)
        finally:
            self._deps.requester.release(slot_id, reading=reading)

    async def _use_slot(
        self, slot: slotrequester.Slot
    ) -> slotmessages.Reading | None:
        """Send the request to a replica; return a reading if it was tried."""
        if not self._running:
            self._record.replica = slot.replica
        repeatable = self._get_match().route.route_type.is_repeatable
        opened = await self._deps.pool.open(
            slot.address,
            timeout_s=_CONNECT_TIMEOUT_S,
            max_idle_s=_REPEATABLE_MAX_IDLE_S
            if repeatable
            else _ONCE_MAX_IDLE_S,
            request_id=self._parsed.request_id,
        )
        if opened.is_error():
            self._record.exclude(slot.replica, 'connect_failed')
            self._check_exclusions()
            return _build_reading(slotallocator.REFUSED)
        try:
            return await self._use_connection(opened.ok, slot)
        finally:
            self._deps.pool.release(opened.ok)

    async def _use_connection(
        self, connection: client.Connection, slot: slotrequester.Slot
    ) -> slotmessages.Reading | None:
        """Send the request on a connection unless something has changed."""
        is_usable = await self._deps.confirm_replica(
            slot.replica, slot.list_confirmed_s
        )
        if not is_usable:
            self._record.exclude(slot.replica, 'has_left')
            return None
        if not connection.is_open or not self._may_send(slot):
            return None
        run = self._send(connection, slot)
        try:
            outcome = await self._wait_for_result(run)
        finally:
            self._running.end(run)
        if outcome is attempts.Result.OVERTAKEN:
            return self._handle_overtaken(run)
        return self._handle_result(run, outcome)

    def _may_send(self, slot: slotrequester.Slot) -> bool:
        """Check, right before sending, whatever may have changed.

        Nothing may be awaited between this check and the first byte.
        """
        service = self._record.service
        now_s = self._deps.clock.read_monotonic()
        if self.is_finished or now_s >= self._deadline_s - _RESPONSE_MARGIN_S:
            self._give_up('deadline')
            return False
        if not self._check_configuration() or service != self._record.service:
            return False
        if not self._check_quarantine():
            return False
        if not self._is_valid(slot, now_s):
            return False
        return not self._record.sends or self._may_send_again(now_s)

    def _may_send_again(self, now_s: float) -> bool:
        has_begun = self._record.may_have_run or self._running
        is_allowed = self._is_repeatable() and self._has_attempts_left()
        if has_begun and not is_allowed:
            self._give_up('not_repeatable')
            return False
        if not self._may_retry(now_s):
            self._deps.metrics.count('retries_denied', reason='budget')
            self._give_up('retry_budget')
            return False
        return True

    def _is_valid(self, slot: slotrequester.Slot, now_s: float) -> bool:
        """Return whether the slot may still be used; another one is due."""
        if self._deps.requester.must_avoid(slot.upstream):
            self._record.last_failure = 'upstream_avoided'
        elif now_s > min(slot.granted_s + _GRANT_LIFETIME_S, slot.held_until_s):
            self._record.last_failure = 'grant_lapsed'
        else:
            return True
        return False

    def _may_retry(self, now_s: float) -> bool:
        """Return whether the instance's retry budget allows one; count it."""
        return self._deps.budgets.find(self._record.service).take(
            now_s, instance_count=self._deps.count_instances()
        )

    def _may_hedge(self, now_s: float) -> bool:
        """Check, before a slot is asked for, whether it could be used now."""
        if not self._check_configuration() or not self._check_quarantine():
            return False
        budget = self._deps.budgets.find(self._record.service)
        if budget.allows(now_s, instance_count=self._deps.count_instances()):
            return True
        self._give_up('retry_budget')
        return False

    def _send(
        self, connection: client.Connection, slot: slotrequester.Slot
    ) -> hedging.Run:
        now_s = self._deps.clock.read_monotonic()
        self._hedges.note_sent()
        self._record.replica = slot.replica
        self._record.sends += 1
        self._record.list_age_s = now_s - slot.list_confirmed_s
        bodiless = self._request.method == b'HEAD'
        attempt = attempts.Attempt(
            request=self._parsed,
            header_codec=self._deps.header_codec,
            relay=self._relay,
            is_stream=self._get_match().route.route_type.is_stream,
            bodiless=bodiless,
            clock=self._deps.clock,
            on_head=lambda response: self._deps.requester.note_notice(
                slot.upstream, response.notice
            ),
            on_progress=self._note_progress,
        )
        attempt.must_be_identified = connection.was_used
        run = hedging.Run(attempt, connection, slot.replica)
        self._running.add(run)
        context = headercodec.ForwardContext(
            replica=slot.replica,
            customer=self._record.customer or None,
            remaining_s=self._deadline_s - now_s,
            last_event_id=self._relay.last_event_id,
        )
        # Read from the replicas only while the caller's connection is writable.
        self._relay.reply.watch_writable(
            lambda is_writable: self._running.set_reading(value=is_writable)
        )
        connection.begin(
            self._deps.header_codec.build_upstream_request(
                self._request, context
            ),
            attempt,
            request_id=self._parsed.request_id,
            bodiless=bodiless,
            body=self._request.body,
        )
        return run

    def _note_progress(self, attempt: attempts.Attempt) -> None:
        """Go on with an attempt alone."""
        self._last_progress_s = attempt.last_progress_s
        self._hedges.cancel_preparation()
        self._running.end_others(attempt)

    async def _wait_for_result(self, run: hedging.Run) -> attempts.Result:
        """Return the result; start another attempt if this one is silent.

        Its result is not known yet at the request's deadline.
        """
        done = run.attempt.done
        while not done.done():
            now_s = self._deps.clock.read_monotonic()
            left_s = self._deadline_s - _RESPONSE_MARGIN_S - now_s
            if left_s <= 0:
                return attempts.Result.EXPIRED
            hedge_in_s = self._find_hedge_s(run, now_s) - now_s
            if hedge_in_s <= 0:
                self._start_hedge(run, now_s)
            else:
                await self._hedges.wait(done, timeout_s=min(left_s, hedge_in_s))
        return done.result()

    def _start_hedge(self, run: hedging.Run, now_s: float) -> None:
        if not self._may_hedge(now_s):
            self._hedges.postpone(now_s)
            return
        self._deps.metrics.count('hedges', outcome='started')
        self._write_event(
            'hedge_started',
            replica=run.replica,
            silent_ms=round(self._running.find_silence_s(run) * _MILLISECONDS),
        )
        self._hedges.start(self._try_replica(), now_s)

    def _find_hedge_s(self, run: hedging.Run, now_s: float) -> float:
        """Return when another attempt is due, unless this one goes on."""
        if self._hedges.is_preparing or not self._running.is_newest(run):
            return float('inf')
        if self.is_finished or not self._may_repeat():
            return float('inf')
        silence_s = self._running.find_silence_s(run)
        left_s = self._find_silence_timeout_s() - silence_s
        return max(now_s + left_s, self._hedges.next_s)

    def _may_repeat(self) -> bool:
        """Return whether another attempt may be sent beside those running."""
        return (
            self._is_repeatable()
            and self._has_attempts_left()
            and len(self._record.excluded) < _MAX_EXCLUDED
        )

    def _is_silent(self, run: hedging.Run) -> bool:
        silence_s = self._running.find_silence_s(run)
        return silence_s >= self._find_silence_timeout_s()

    def _find_silence_timeout_s(self) -> float:
        route = self._get_match().route
        if route.route_type.is_stream:
            return max(
                _STREAM_SILENCE_TIMEOUT_S,
                route.objective_s,
                route.max_silence_s * _STREAM_SILENCE_RATIO,
            )
        left_s = self._deadline_s - self._deps.clock.read_monotonic()
        return max(route.objective_s, left_s * _PLAIN_SILENCE_RATIO)

    def _handle_overtaken(
        self, run: hedging.Run
    ) -> slotmessages.Reading | None:
        """Return a reading only if the attempt was ended for its silence."""
        self._record.runs += 1
        silent_s = self._running.find_silence_s(run)
        self._write_event(
            'attempt_overtaken',
            replica=run.replica,
            silent_ms=round(silent_s * _MILLISECONDS),
        )
        if not self._is_silent(run):
            return None
        self._record.exclude(run.replica, 'silent')
        return _build_reading(slotallocator.FAILED)

    def _handle_result(
        self, run: hedging.Run, outcome: attempts.Result
    ) -> slotmessages.Reading | None:
        record = self._record
        attempt = run.attempt
        record.note_response(attempt)
        if attempt.has_body:
            self._deps.metrics.observe(
                'upstream_first_byte', attempt.first_byte_delay_s
            )
            record.note_first_byte(
                attempt.started_s + attempt.first_byte_delay_s
            )
        if outcome is attempts.Result.NOT_RUN:
            record.exclude(run.replica, f'not_run_{attempt.status}')
            self._check_exclusions()
            return _build_reading(slotallocator.REFUSED)
        record.runs += 1
        if outcome is attempts.Result.DELIVERED:
            record.replica = run.replica
            self._finish_response(attempt)
            return slotmessages.Reading(
                slotallocator.ANSWERED,
                attempt.first_byte_delay_s,
                attempt.slowness,
                attempt.longest_pause_s,
                attempt.is_continuation,
            )
        record.exclude(run.replica, outcome.value)
        if attempt.fault:
            self._write_event(
                'stream_rejected',
                replica=run.replica,
                reason=attempt.fault,
                last_id=self._relay.last_event_id or '',
                body_bytes=attempt.size_bytes,
            )
        if outcome is attempts.Result.LOST and attempt.was_disconnected:
            self._note_lost(run)
        if outcome is attempts.Result.FAILED:
            self._buffered = attempt.buffered
            self._note_failed(attempt)
        self._retry_or_fail()
        if outcome is attempts.Result.FAILED:
            return _build_reading(slotallocator.ERROR)
        is_expired = outcome is attempts.Result.EXPIRED
        if is_expired and attempt.has_body and not self._is_silent(run):
            # The time was too short for a replica that still went on.
            return None
        return _build_reading(slotallocator.FAILED)

    def _note_failed(self, attempt: attempts.Attempt) -> None:
        """Note that a replica has survived a request that it refused.

        One that fails may be about to crash.
        """
        if attempt.status < messages.INTERNAL_ERROR:
            self._note_answered(attempt)

    def _note_answered(self, attempt: attempts.Attempt) -> None:
        """Note that a replica has survived a request.

        A run that goes on behind the point of a crash shows nothing of it.
        """
        if not attempt.is_continuation:
            self._deps.requester.note_answered(self._digest)

    def _note_lost(self, run: hedging.Run) -> None:
        """Report a run whose request may have crashed its replica."""
        self._deps.requester.note_lost(
            crashevidence.LostRun(
                self._record.request_id,
                self._record.service,
                run.replica,
                self._shared_parts,
                self._deps.clock.read_monotonic(),
                self._digest,
                has_begun=run.attempt.has_body,
            )
        )

    def _finish_response(self, attempt: attempts.Attempt) -> None:
        record = self._record
        if record.first_byte_s is not None and record.rank is not None:
            self._deps.metrics.observe(
                'first_byte',
                record.first_byte_s - record.started_s,
                tier=record.rank,
            )
        self._note_answered(attempt)
        self.log(Ending(attempt.status, 'answered', ''))
        if attempt.buffered is not None:
            self._relay.reply.send(*attempt.buffered)

    def _retry_or_fail(self) -> None:
        """Leave the request to another attempt, or send a final response."""
        if self._running:
            return
        now_s = self._deps.clock.read_monotonic()
        in_time = now_s < self._deadline_s - _RESPONSE_MARGIN_S
        if in_time and self._is_repeatable() and self._has_attempts_left():
            return
        self._give_up('upstream' if in_time else 'deadline')

    def _is_repeatable(self) -> bool:
        """Return whether another run can still give the caller a response.

        Once a part was relayed, only a resumable stream can go on.
        """
        route_type = self._get_match().route.route_type
        if self._relay.reply.started:
            is_resumable = route_type is routes.RouteType.STREAM_RESUMABLE
            return is_resumable and self._relay.is_resumable
        return route_type.is_repeatable

    def _has_attempts_left(self) -> bool:
        max_attempts = self._get_match().route.max_attempts
        return self._record.runs + len(self._running) < max_attempts

    def _check_exclusions(self) -> None:
        """Fail a request that too many replicas have rejected."""
        if len(self._record.excluded) >= _MAX_EXCLUDED:
            self._give_up('upstreams_refuse')

    def _handle_refusal(self, refusal: slotrequester.Refusal) -> None:
        if refusal.reason == 'quota':
            self.refuse(
                messages.TOO_MANY_REQUESTS, 'quota', refusal.retry_after_s
            )
        else:
            self._give_up(refusal.reason, refusal.retry_after_s)

    def _give_up(self, reason: str, retry_after_s: float = 0) -> None:
        """Send the final response, depending on whether it may have run."""
        if self._may_be_answered(reason):
            return
        buffered = self._buffered
        unsent = not self._relay.reply.started
        if buffered and unsent and not _means_not_run(buffered.status):
            self.log(Ending(buffered.status, 'failed', 'upstream_status'))
            self._relay.reply.send(*buffered)
        elif self._record.may_have_run:
            is_late = reason == 'deadline'
            status = (
                messages.GATEWAY_TIMEOUT if is_late else messages.BAD_GATEWAY
            )
            self.refuse(status, reason, None)
        else:
            self.refuse(
                messages.UNAVAILABLE,
                reason,
                retry_after_s or _DEFAULT_RETRY_AFTER_S,
            )

    def _write_event(self, event: str, **fields: typing.Any) -> None:
        logs.write_event(_LOGGER, event, id=self._parsed.request_id, **fields)


def _build_reading(outcome: int) -> slotmessages.Reading:
    return slotmessages.Reading(outcome, 0, 0)


def _means_not_run(status: int) -> bool:
    """Return whether a status means that the request has not run."""
    return status in {
        messages.REQUEST_TIMEOUT,
        messages.MISDIRECTED,
        messages.TOO_MANY_REQUESTS,
        messages.UNAVAILABLE,
    }
