"""A JSON line for each request of a run, for diagnosis."""

import typing

import msgspec

from lavenderledge.load import client, enginelogs, replay, workloads
from lavenderledge.load import fleet as fleets


class RequestLine(typing.NamedTuple):
    """One request; times in seconds from the trace's start.

    ``replica`` is empty if no engine received it. ``avoidable_tokens`` were
    prefilled although another replica had them cached.
    """

    run: str
    number: int
    kind: str
    tier: int
    at_s: float
    first_s: float | None
    ended_s: float
    timeout_s: float
    whole: bool
    reason: str
    output_tokens: int
    replica: str = ''
    started_s: float | None = None
    finished_s: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    avoidable_tokens: int = 0


def render_lines(user: workloads.User, run: replay.Run) -> bytes:
    """Return the JSON lines of a run, in the order of arrival."""
    avoidable = enginelogs.compute_avoidable(user, run.trace, run.records)
    records_by_number = {
        record.number: (record, tokens)
        for record, tokens in zip(run.records, avoidable, strict=True)
    }
    lines = []
    for result in run.results:
        line = _build_line(run.label, result)
        record_and_tokens = records_by_number.get(line.number)
        if record_and_tokens is not None:
            line = _add_record(line, *record_and_tokens, run.started_wall_s)
        lines.append(msgspec.json.encode(line._asdict()))
    return b'\n'.join((*lines, b''))


def _build_line(run: str, result: client.Result) -> RequestLine:
    arrival = result.arrival
    return RequestLine(
        run=run,
        number=arrival.number,
        kind=arrival.kind,
        tier=arrival.tier,
        at_s=arrival.at_s,
        first_s=result.first_s,
        ended_s=result.ended_s,
        timeout_s=arrival.timeout_s,
        whole=result.complete,
        reason=result.reason,
        output_tokens=arrival.output_tokens,
    )


def _add_record(
    line: RequestLine,
    record: fleets.EngineRecord,
    avoidable: int,
    start_s: float,
) -> RequestLine:
    return line._replace(
        replica=record.replica,
        started_s=_make_relative(record.started_s, start_s),
        finished_s=_make_relative(record.finished_s, start_s),
        prompt_tokens=record.prompt_tokens,
        cached_tokens=record.cached_tokens,
        avoidable_tokens=avoidable,
    )


def _make_relative(at_s: float | None, start_s: float) -> float | None:
    return None if at_s is None else at_s - start_s
