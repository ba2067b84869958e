"""Checks the guarantees on what callers, replicas and operators saw."""

import collections
import typing

# Statuses which guarantee that the request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
SETTLE_S = 3.0


class CallRecord(typing.NamedTuple):
    """A request and its response, as the caller saw them.

    ``sent_s`` is when it was sent, ``instance`` the instance it was sent to,
    ``duration_s`` the time until it ended. A status of 0 means no response.
    """

    request_id: str
    instance: str
    path: str
    key: str
    sent_s: float
    status: int
    is_complete: bool
    body: bytes
    duration_s: float = 0


class Run(typing.NamedTuple):
    """A run of a request, as its replica saw it."""

    request_id: str
    replica: str
    at_s: float


class History(typing.NamedTuple):
    """Everything observed in one soak run; times are in seconds.

    ``draining`` holds when each replica started to drain, ``revoked`` when
    each key was revoked, and ``disturbances`` the start and end of each
    disturbance by instance; those of the store are under ''.
    """

    calls: list[CallRecord]
    runs: list[Run]
    draining: dict[str, float]
    revoked: dict[str, float]
    disturbances: dict[str, list[tuple[float, float]]]
    stream_events: int


def find_violations(history, *, drain_s, revoke_s):
    """Return a message for each violated guarantee."""
    return [
        *_find_repeated_runs(history),
        *_find_refused_runs(history),
        *_find_wrong_bodies(history),
        *_find_late_runs(history, drain_s),
        *_find_revoked_runs(history, revoke_s),
        *_find_unknown_runs(history),
    ]


def _find_repeated_runs(history):
    calls = {call.request_id: call for call in history.calls}
    counts = collections.Counter(run.request_id for run in history.runs)
    for request_id, count in counts.items():
        known = calls.get(request_id)
        runs_once = known is not None and known.path.startswith(
            ('/once', '/stream/x')
        )
        if runs_once and count > 1:
            yield f'{request_id} ran {count} times, expected at most 1'
        elif count > 2:
            yield f'{request_id} ran {count} times, expected at most 2'


def _find_refused_runs(history):
    ran = {run.request_id for run in history.runs}
    for call in history.calls:
        if call.path.startswith('/safe') or 'resumable' in call.path:
            continue
        if call.status in NOT_RUN_STATUSES and call.request_id in ran:
            yield f'{call.request_id} ran despite status {call.status}'


def _find_wrong_bodies(history):
    stream = b''.join(
        f'id: {number}\ndata: {number}\n\n'.encode()
        for number in range(1, history.stream_events + 1)
    )
    for call in history.calls:
        if call.status != 200 or not call.is_complete:
            continue
        if call.path.startswith('/stream'):
            if call.body != stream:
                yield f'{call.request_id} got the wrong stream'
        elif not call.body.endswith(f'ran {call.request_id}'.encode()):
            yield f'{call.request_id} got the wrong body {call.body!r}'


def _is_connected(history, instance, at_s):
    """Return whether guarantees with a time bound hold at ``at_s``.

    They hold after ``SETTLE_S`` without a disturbance of the store, the
    instance or its link to the store (RULES, "In touch").
    """
    spans = (
        *history.disturbances.get('', ()),
        *history.disturbances.get(instance, ()),
    )
    return not any(
        start_s <= at_s and end_s >= at_s - SETTLE_S for start_s, end_s in spans
    )


def _find_late_runs(history, drain_s):
    instances = {call.request_id: call.instance for call in history.calls}
    for run in history.runs:
        if not _is_connected(history, instances.get(run.request_id), run.at_s):
            continue
        drain_start_s = history.draining.get(run.replica, float('inf'))
        if run.at_s > drain_start_s + drain_s:
            yield (
                f'{run.request_id} reached {run.replica} '
                f'{run.at_s - drain_start_s:.2f} s after it started to drain'
            )


def _find_revoked_runs(history, revoke_s):
    ran = {run.request_id for run in history.runs}
    for call in history.calls:
        revoked_s = history.revoked.get(call.key, float('inf'))
        if call.request_id in ran and call.sent_s > revoked_s + revoke_s:
            yield (
                f'{call.request_id} ran with a key revoked '
                f'{call.sent_s - revoked_s:.2f} s before it was sent'
            )


def _find_unknown_runs(history):
    sent = {call.request_id for call in history.calls}
    for run in history.runs:
        if run.request_id not in sent:
            yield f'{run.request_id} ran but was never sent'
