"""Commands that edit the table: set, remove and import."""

import asyncio
import functools
import hashlib
import pathlib
import typing
import uuid

import expression
import msgspec

from lavenderledge import status
from lavenderledge.cli import context, definition, fleet, output, reporting
from lavenderledge.controllers import edit, tablehistory
from lavenderledge.policy import (
    history,
    spreadsheet,
    tablemerge,
    tableplan,
)

# Random hexadecimal digits that keep ids of edits in one second distinct.
_ID_DIGITS = 12

_MAX_SUMMARY_LENGTH = 200


class EditSpec(typing.NamedTuple):
    """The edit that a command makes; ``request`` identifies its content."""

    summary: str
    request: tuple[str, ...]
    plan: edit.Plan
    replaces: bool = False


async def run_set(ctx: context.Context) -> status.ExitStatus:
    """Change cells of a row, or create the row."""
    name = ctx.args.row
    cells: dict[str, str] = {}
    for text in ctx.args.cells:
        column, equals, content = text.partition('=')
        if not equals or column in cells:
            return _refuse_usage(
                ctx, f'{text!r}: expected COLUMN=VALUE, each column once'
            )
        cells[column] = content

    def plan(
        rows: tablemerge.Rows,
    ) -> expression.Result[tablemerge.Changes, edit.Failure]:
        return tableplan.plan_set(rows, name, cells).map_error(edit.Refused)

    summary = ' '.join(['set', name, *ctx.args.cells])
    request = ('set', name, *sorted(ctx.args.cells))
    return await _run(ctx, EditSpec(summary, request, plan))


async def run_remove(ctx: context.Context) -> status.ExitStatus:
    """Remove a row."""
    name = ctx.args.row

    def plan(
        rows: tablemerge.Rows,
    ) -> expression.Result[tablemerge.Changes, edit.Failure]:
        changes = tableplan.plan_remove(rows, name)
        if not changes:
            return expression.Error(edit.NoSuchRow(name))
        return expression.Ok(changes)

    spec = EditSpec(f'remove {name}', ('remove', name), plan)
    return await _run(ctx, spec)


async def run_import(ctx: context.Context) -> status.ExitStatus:
    """Replace the whole table with a spreadsheet."""
    try:
        text = _read_file(ctx)
    except (OSError, UnicodeDecodeError) as error:
        report = reporting.Report(
            status.ExitStatus.ERROR, (f'{ctx.args.file}: {error}',)
        )
        return reporting.write_report(ctx.env, report)
    rows = spreadsheet.read_rows(text)
    if rows.is_error():
        return reporting.report_problems(ctx.env, rows.error)
    base: tablemerge.Rows | None = None
    if ctx.args.base_revision is not None:
        past = await tablehistory.read_rows_at(
            ctx.keyvalue, ctx.args.base_revision
        )
        if past.is_error():
            return reporting.report_failure(ctx.env, past.error)
        base = past.ok
    spec = EditSpec(
        summary=f'import {ctx.args.file}, {len(rows.ok)} rows',
        request=('import', text),
        plan=functools.partial(_plan_import, base, rows.ok),
        replaces=base is None,
    )
    return await _run(ctx, spec)


def _plan_import(
    base: tablemerge.Rows | None,
    target: tablemerge.Rows,
    rows: tablemerge.Rows,
) -> expression.Result[tablemerge.Changes, edit.Failure]:
    return expression.Ok(
        tablemerge.list_changes(rows if base is None else base, target),
    )


def _read_file(ctx: context.Context) -> str:
    if ctx.args.file == '-':
        return ctx.env.stdin.read()
    return pathlib.Path(ctx.args.file).read_text('utf-8')


def _refuse_usage(ctx: context.Context, message: str) -> status.ExitStatus:
    report = reporting.Report(
        status.ExitStatus.USAGE,
        (message,),
        f'see {definition.PROGRAM} table set --help',
    )
    return reporting.write_report(ctx.env, report)


async def _run(ctx: context.Context, spec: EditSpec) -> status.ExitStatus:
    new_edit = _build_edit(ctx, spec)
    editor = edit.Editor(
        edit=new_edit,
        keyvalue=ctx.keyvalue,
        clock=ctx.clock,
        rng=ctx.rng,
    )
    try:
        outcome = await editor.run(ctx.settings.timeout)
    except asyncio.CancelledError:
        ctx.env.write_error(
            program=definition.PROGRAM,
            message=f'interrupted; edit {new_edit.edit_id} may be accepted',
            hint=reporting.suggest_status(new_edit.edit_id),
        )
        raise
    if outcome.is_error():
        return reporting.report_failure(ctx.env, outcome.error)
    return await _report_accepted(ctx, outcome.ok)


def _build_edit(ctx: context.Context, spec: EditSpec) -> edit.Edit:
    author = ctx.args.author or ctx.env.variables.get('USER') or 'unknown'
    request = hashlib.sha256(msgspec.json.encode(spec.request))
    return edit.Edit(
        edit_id=ctx.args.edit_id or _make_id(ctx),
        author=author,
        summary=spec.summary[:_MAX_SUMMARY_LENGTH],
        request=request.hexdigest(),
        plan=spec.plan,
        replaces=spec.replaces,
        repeated=ctx.args.edit_id is not None,
    )


def _make_id(ctx: context.Context) -> str:
    time = ctx.clock.read_wall().strftime('%Y%m%dT%H%M%SZ')
    return f'{time}-{uuid.uuid4().hex[:_ID_DIGITS]}'


async def _report_accepted(
    ctx: context.Context, accepted: edit.Accepted
) -> status.ExitStatus:
    if not ctx.json:
        _write_accepted(ctx, accepted)
    if ctx.args.no_wait:
        if ctx.json:
            _write_json(ctx, accepted, None)
        return status.ExitStatus.SUCCESS
    rollout = await fleet.wait_in_force(ctx, accepted.revision)
    if ctx.json:
        _write_json(ctx, accepted, rollout)
    else:
        count = len(rollout.in_force)
        total = count + len(rollout.behind)
        ctx.env.stdout.write(f'in force on {count} of {total} instances\n')
    if rollout.done:
        return status.ExitStatus.SUCCESS
    return reporting.write_report(ctx.env, _describe_rollout(rollout))


def _describe_rollout(rollout: fleet.Rollout) -> reporting.Report:
    messages = [
        f'not yet in force on {instance.name}: '
        f'{fleet.describe_behind(instance)}'
        for instance in rollout.behind
    ]
    if rollout.fault:
        messages.append(f'unknown where the edit is in force: {rollout.fault}')
    return reporting.Report(
        status.ExitStatus.NOT_IN_FORCE,
        tuple(messages),
        f'the edit stays accepted; see {definition.PROGRAM} table status',
    )


def _write_accepted(ctx: context.Context, accepted: edit.Accepted) -> None:
    write = ctx.env.stdout.write
    if not accepted.changes:
        write(f'nothing to change at revision {accepted.revision}\n')
        return
    for change in accepted.changes:
        write(f'{_describe_change(change)}\n')
    write(
        f'edit {accepted.edit_id} accepted at revision {accepted.revision}\n',
    )


def _describe_change(change: tablemerge.Change) -> str:
    match change:
        case tablemerge.RowAdded(row):
            return f'row {row.row} created'
        case tablemerge.RowRemoved(row):
            return f'row {row.row} removed'
        case tablemerge.CellChange():
            before = spreadsheet.format_cell(change.before)
            after = spreadsheet.format_cell(change.after)
            place = f'row {change.row}, column {change.column}'
            return f'{place}: {before!r} changed to {after!r}'


def _write_json(
    ctx: context.Context,
    accepted: edit.Accepted,
    rollout: fleet.Rollout | None,
) -> None:
    output.write_json(
        ctx.env.stdout,
        {
            'edit_id': accepted.edit_id,
            'revision': accepted.revision,
            'created': any(
                isinstance(change, tablemerge.RowAdded)
                for change in accepted.changes
            ),
            'changes': [
                history.build_stored_change(change)
                for change in accepted.changes
            ],
            'waited': rollout and fleet.summarize(rollout),
        },
    )
