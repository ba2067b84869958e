"""The promises, checked on what callers, replicas and operators saw."""

import collections
import typing

PROMISES = frozenset((408, 421, 429, 503))
CONTACT_S = 3.0


class Told(typing.NamedTuple):
    """What a caller was told of a request; a status of 0 is no answer.

    ``sent_s`` is when it was sent, ``entry`` the instance that took it,
    ``took_s`` the time until it was over.
    """

    request_id: str
    entry: str
    path: str
    key: str
    sent_s: float
    status: int
    is_whole: bool
    body: bytes
    took_s: float = 0


class Run(typing.NamedTuple):
    """A run of a request, as its replica saw it."""

    request_id: str
    replica: str
    at_s: float


class History(typing.NamedTuple):
    """All that was seen; ends and revocations by name, with their times.

    ``disturbed`` has spans of time by instance, that of the store under ''.
    """

    told: list[Told]
    runs: list[Run]
    left: dict[str, float]
    revoked: dict[str, float]
    disturbed: dict[str, list[tuple[float, float]]]
    events: int


def find_violations(history, *, drain_s, revoke_s):
    """Return every broken promise in words."""
    return [
        *_find_repeats(history),
        *_find_false_promises(history),
        *_find_wrong_answers(history),
        *_find_late_runs(history, drain_s),
        *_find_revoked_runs(history, revoke_s),
        *_find_foreign_runs(history),
    ]


def _find_repeats(history):
    told = {each.request_id: each for each in history.told}
    counts = collections.Counter(run.request_id for run in history.runs)
    for request_id, count in counts.items():
        known = told.get(request_id)
        once = known is not None and known.path.startswith(
            ('/once', '/stream/x')
        )
        if once and count > 1:
            yield f'{request_id} may run once and ran {count} times'
        elif count > 2:
            yield f'{request_id} ran {count} times'


def _find_false_promises(history):
    ran = {run.request_id for run in history.runs}
    for each in history.told:
        if each.path.startswith('/safe') or 'resumable' in each.path:
            continue
        if each.status in PROMISES and each.request_id in ran:
            yield f'{each.request_id} was told {each.status} and ran'


def _find_wrong_answers(history):
    stream = b''.join(
        f'id: {number}\ndata: {number}\n\n'.encode()
        for number in range(1, history.events + 1)
    )
    for each in history.told:
        if each.status != 200 or not each.is_whole:
            continue
        if each.path.startswith('/stream'):
            if each.body != stream:
                yield f'{each.request_id} got a stream that is not whole'
        elif not each.body.endswith(f'ran {each.request_id}'.encode()):
            yield f'{each.request_id} got the answer {each.body!r}'


def _is_in_touch(history, entry, at_s):
    """Return whether the users' rules with a time bound hold at a moment.

    They do after 3 s without trouble of the store, or of the instance and its
    way to the store (RULES, "In touch").
    """
    spans = (*history.disturbed.get('', ()), *history.disturbed.get(entry, ()))
    return not any(
        begin_s <= at_s and end_s >= at_s - CONTACT_S
        for begin_s, end_s in spans
    )


def _find_late_runs(history, drain_s):
    entries = {each.request_id: each.entry for each in history.told}
    for run in history.runs:
        if not _is_in_touch(history, entries.get(run.request_id), run.at_s):
            continue
        left_s = history.left.get(run.replica, float('inf'))
        if run.at_s > left_s + drain_s:
            yield (
                f'{run.request_id} reached {run.replica} '
                f'{run.at_s - left_s:.2f} s after it said that it leaves'
            )


def _find_revoked_runs(history, revoke_s):
    ran = {run.request_id for run in history.runs}
    for each in history.told:
        revoked_s = history.revoked.get(each.key, float('inf'))
        if each.request_id in ran and each.sent_s > revoked_s + revoke_s:
            yield (
                f'{each.request_id} ran with a key taken away '
                f'{each.sent_s - revoked_s:.2f} s before it was sent'
            )


def _find_foreign_runs(history):
    asked = {each.request_id for each in history.told}
    for run in history.runs:
        if run.request_id not in asked:
            yield f'{run.request_id} ran and nobody asked for it'
