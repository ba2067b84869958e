"""``lavenderledge explain``: where a request would be sent, and why."""

import datetime
import http
import typing
from collections import abc

import aiohttp
import msgspec

from lavenderledge import answers, status
from lavenderledge.cli import context, output, reporting

CALL_TIMEOUT: typing.Final = datetime.timedelta(seconds=5)
_MAX_ANSWER_BYTES: typing.Final = 16_000_000
_REQUEST_FIELDS: typing.Final = (
    'host',
    'path',
    'customer',
    'prompt_tokens',
    'output_tokens',
)
_REPLICA_COLUMNS: typing.Final = (
    'name',
    'availability_zone',
    'verdict',
    'free_slots',
    'held_slots',
    'slots',
    'failures',
    'limit_per_s',
    'held_prompt_tokens',
    'memory_tokens',
    'prompts_ahead_s',
    'first_byte_s',
    'hold_s',
    'duration_s',
    'sound_slots',
)

Record: typing.TypeAlias = abc.Mapping[str, typing.Any]


async def run_explain(ctx: context.Context) -> status.ExitStatus:
    """Ask an instance for an explanation and show it."""
    request_fields = {
        name: str(given)
        for name in _REQUEST_FIELDS
        if (given := getattr(ctx.args, name)) is not None
    }
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT.total_seconds())
    try:
        async with ctx.session.get(
            f'http://{ctx.args.address}/explain',
            params=request_fields,
            timeout=timeout,
        ) as response:
            body = await answers.read_body(
                response, max_bytes=_MAX_ANSWER_BYTES
            )
        record = msgspec.json.decode(body, type=dict[str, typing.Any])
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
        return _report_unavailable(ctx, str(error) or repr(error))
    if response.status != http.HTTPStatus.OK:
        return _report_refused(ctx, response.status, record)
    if ctx.json:
        output.write_json(ctx.env.stdout, record)
    else:
        write_text(ctx.env.stdout, record)
    return status.ExitStatus.SUCCESS


def write_text(stream: typing.TextIO, record: Record) -> None:
    """Write an explanation as text."""
    _write_fields(stream, 'request', record['request'])
    if not record['is_allocator']:
        stream.write(
            f'allocator: {record["allocator"]}; what follows is what '
            f'{record["instance"]} would decide by itself\n'
        )
    names = ('instance', 'allocator', 'share', 'rank', 'configuration_version')
    _write_fields(stream, 'state', {name: record[name] for name in names})
    for name in ('route', 'quota'):
        _write_fields(stream, name, record[name] or {})
    for target in record['targets']:
        _write_target(stream, target)
    _write_fields(stream, 'decision', record['decision'])


def _write_target(stream: typing.TextIO, target: Record) -> None:
    shown = {name: target[name] for name in ('service', 'weight', 'capacity')}
    _write_fields(stream, 'service', shown)
    _write_fields(stream, 'queue', target['queue'])
    output.write_text_table(
        stream,
        _REPLICA_COLUMNS,
        [
            [output.format_content(replica[name]) for name in _REPLICA_COLUMNS]
            for replica in target['replicas']
        ],
    )
    _write_fields(stream, 'decision of the service', target['decision'])


def _write_fields(stream: typing.TextIO, title: str, fields: Record) -> None:
    """Write the fields that have a value on one line."""
    shown = [
        f'{name}={output.format_content(content)}'
        for name, content in fields.items()
        if content not in {None, ''}
    ]
    stream.write(f'{title}: {" ".join(shown) or "none"}\n')


def _report_unavailable(ctx: context.Context, detail: str) -> status.ExitStatus:
    return reporting.write_report(
        ctx.env,
        reporting.Report(
            status.ExitStatus.UNAVAILABLE,
            (f'{ctx.args.address}: {detail}',),
            'expected the address of --metrics-listen of a routed instance',
        ),
    )


def _report_refused(
    ctx: context.Context, answer_status: int, problem: Record
) -> status.ExitStatus:
    detail = problem.get('detail') or f'HTTP status {answer_status}'
    is_invalid = answer_status == http.HTTPStatus.BAD_REQUEST
    return reporting.write_report(
        ctx.env,
        reporting.Report(
            status.ExitStatus.USAGE
            if is_invalid
            else status.ExitStatus.UNAVAILABLE,
            (str(detail),),
        ),
    )
