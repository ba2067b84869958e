"""The filter that makes non-idempotent calls run at most once."""

import hashlib

import expression

from lavenderledge import clock as clocks
from lavenderledge import outcomes
from lavenderledge.controllers import claims
from lavenderledge.filters import exchange, refusals

REPLAYED_HEADER = ('idempotent-replayed', 'true')

_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


def make_claim(
    *, records: claims.Claims, clock: clocks.Clock, timeout_s: float
) -> exchange.Filter:
    """Return a filter that claims the key of a request before running it.

    Creating a claim takes at most ``timeout_s``, or until the request's
    deadline if that comes first.
    """

    async def claim(
        current: exchange.Exchange, proceed: exchange.Handler
    ) -> exchange.Outcome:
        assert current.row is not None
        key = current.identity.idempotency_key
        if current.call.method in _SAFE_METHODS:
            return await proceed(current)
        if key is None and not current.row.repeatable:
            return current.refuse(
                outcomes.Reason.KEY_MISSING,
                'requests of this row need an Idempotency-Key header',
            )
        if key is None:
            return await proceed(current)
        created = await records.create(
            customer=current.identity.customer,
            key=key,
            fingerprint=_digest_call(current),
            deadline_s=min(
                clock.read_monotonic() + timeout_s, current.deadline_s
            ),
        )
        if created.is_error():
            return _resolve_existing(current, created.error)
        outcome = await proceed(current)
        return await _conclude(records, current, created.ok, outcome)

    return claim


def _digest_call(current: exchange.Exchange) -> str:
    call = current.call
    digest = hashlib.sha256()
    for part in (call.method, call.path, call.query):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(call.body)
    return digest.hexdigest()


def _resolve_existing(
    current: exchange.Exchange,
    failure: claims.Existing | claims.Unavailable,
) -> exchange.Outcome:
    if isinstance(failure, claims.Unavailable):
        return current.refuse(
            outcomes.Reason.CLAIM_UNAVAILABLE, failure.detail, retry_after_s=1
        )
    record = failure.record
    if record.fingerprint != _digest_call(current):
        return current.refuse(
            outcomes.Reason.KEY_REUSED,
            'this Idempotency-Key was used before with another request',
        )
    if record.answer is None:
        return expression.Error(
            outcomes.build_unknown_refusal(
                outcomes.Reason.KEY_IN_USE,
                'an earlier request with this Idempotency-Key may be running '
                + 'or may have run; its answer is unknown',
                retry_after_s=1,
            )
        )
    answer = record.answer
    return expression.Ok(
        exchange.Answer(
            answer.status, (*answer.headers, REPLAYED_HEADER), answer.body
        )
    )


async def _conclude(
    records: claims.Claims,
    current: exchange.Exchange,
    claim: claims.Claim,
    outcome: exchange.Outcome,
) -> exchange.Outcome:
    """Store a final outcome; abandon the claim if nothing was sent.

    A caller that has an answer may repeat its key at once, so the answer is
    stored before it is sent.
    """
    if outcome.is_ok():
        answer = await _store_answer(records, current, claim, outcome.ok)
        return expression.Ok(answer)
    await _store_refusal(records, current, claim, outcome.error)
    return outcome


async def _store_answer(
    records: claims.Claims,
    current: exchange.Exchange,
    claim: claims.Claim,
    answer: exchange.Answer,
) -> exchange.Answer:
    if answer.stream is None:
        await records.store_answer(
            claim,
            claims.StoredAnswer(answer.status, answer.headers, answer.body),
            deadline_s=current.deadline_s,
        )
        return answer
    return answer._replace(
        stream=_record_stream(records, current, claim, answer)
    )


def _record_stream(
    records: claims.Claims,
    current: exchange.Exchange,
    claim: claims.Claim,
    answer: exchange.Answer,
) -> exchange.Stream:
    pump = answer.stream
    assert pump is not None
    relayed = bytearray()

    async def record(
        sink: exchange.Sink,
    ) -> 'expression.Result[None, outcomes.Refusal]':
        async def copy_chunk(chunk: bytes) -> None:
            if len(relayed) <= claims.STORED_BODY_LIMIT_BYTES:
                relayed.extend(chunk)
            await sink(chunk)

        ended = await pump(copy_chunk)
        if ended.is_ok():
            await records.store_answer(
                claim,
                claims.StoredAnswer(
                    answer.status, answer.headers, bytes(relayed)
                ),
                deadline_s=current.deadline_s,
            )
        else:
            await _store_refusal(records, current, claim, ended.error)
        return ended

    return record


async def _store_refusal(
    records: claims.Claims,
    current: exchange.Exchange,
    claim: claims.Claim,
    refusal: outcomes.Refusal,
) -> None:
    if refusal.outcome is outcomes.Outcome.NOT_RUN:
        records.abandon(claim)
    elif refusal.outcome is outcomes.Outcome.FAILED:
        answer = refusals.answer_refusal(current.request_id, refusal)
        await records.store_answer(
            claim,
            claims.StoredAnswer(answer.status, answer.headers, answer.body),
            deadline_s=current.deadline_s,
        )
