"""Which replica gets a request, of those that have a free slot.

Load pattern: replicas of one service differ in speed, and on the slower ones
the streams of several requests pause for longer than their callers accept.
"""

import typing

from lavenderledge.peers import slotmessages
from lavenderledge.policy import slotqueue, slots

# How much longer a request runs on a full replica, relative to an idle one.
_LOAD_FACTOR: typing.Final = 0.5
# How much longer a request takes in another availability zone: each connect,
# upload and event crosses the zones.
_REMOTE_FACTOR: typing.Final = 1.08


def list_suitable(
    service: slots.Service,
    replicas: list[slots.Replica],
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> list[slots.Replica]:
    """Return those replicas that may serve a request.

    A timely request keeps waiting if every free replica would make it late.
    """
    spec = waiting.spec
    candidates = [
        replica
        for replica in replicas
        if replica.info.name not in spec.excluded
    ]
    if not service.queue.is_late(waiting):
        left_s = waiting.due_s - now_s
        candidates = [
            replica
            for replica in candidates
            if service.estimate_first_byte_s(replica, spec.prompt_tokens, now_s)
            <= left_s
        ]
    if service.gate is not None:
        candidates = service.gate.select(candidates, spec, now_s)
    return candidates


def list_sound(
    service: slots.Service,
    candidates: list[slots.Replica],
    waiting: slotqueue.WaitingRequest,
    now_s: float,
    deferred: int,
) -> list[slots.Replica]:
    """Return the replicas at which a stream is not late by a pause.

    A timely one keeps waiting for such a replica if one is expected to be free
    soon; ``deferred`` requests wait before it. Else it may use any: an answer
    that may be late is better than none.
    """
    has_pauses = bool(waiting.spec.pause_target_s)
    if not has_pauses or service.queue.is_late(waiting):
        return candidates
    if service.gate is not None and service.gate.targets:
        # A new version has to show itself at full load.
        return candidates
    sound = [
        replica
        for replica in candidates
        if replica.held < replica.pause_risk.find_limit(now_s)
    ]
    first_s = service.estimate_min_first_byte_s(waiting.spec.prompt_tokens)
    left_s = waiting.due_s - now_s - first_s
    if sound or service.expects_sound_slot(deferred, left_s):
        return sound
    return candidates


def choose_replica(
    service: slots.Service,
    candidates: list[slots.Replica],
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> slots.Replica | None:
    """Return the replica that is expected to finish the request first."""
    spec = waiting.spec

    def estimate_s(replica: slots.Replica) -> float:
        return estimate_duration_s(service, replica, spec, now_s)

    return min(candidates, key=estimate_s, default=None)


def estimate_duration_s(
    service: slots.Service,
    replica: slots.Replica,
    spec: slotmessages.RequestSpec,
    now_s: float,
) -> float:
    """Return the seconds until a replica has answered, with its retries."""
    load = replica.held / max(1, replica.info.slots)
    first_s = service.estimate_first_byte_s(replica, spec.prompt_tokens, now_s)
    hold_s = service.estimate_hold_s(replica, now_s)
    run_s = first_s + hold_s * (1 + _LOAD_FACTOR * load)
    is_remote = replica.info.availability_zone != spec.availability_zone
    zone_factor = _REMOTE_FACTOR if is_remote else 1
    attempts = replica.health.estimate_attempts(service.error_ratio.read(0))
    return run_s * zone_factor * attempts
