"""Commands that read the table: show, export, history and status."""

import pathlib

import expression

from lavenderledge import status
from lavenderledge.cli import context, fleet, output, reporting
from lavenderledge.controllers import edit, table, tablehistory
from lavenderledge.policy import history, spreadsheet
from lavenderledge.policy import table as tables
from lavenderledge.registry import operations

_STATUS_COLUMNS = ('instance', 'zone', 'revision', 'table')
_HISTORY_COLUMNS = ('revision', 'time', 'author', 'edit', 'summary')


async def run_show(ctx: context.Context) -> status.ExitStatus:
    """Show the stored table, or some of its rows."""
    stored = await _read_stored(ctx)
    if stored.is_error():
        return reporting.report_failure(ctx.env, stored.error)
    known = {row.row: row for row in stored.ok.rows}
    names = ctx.args.rows or list(known)
    for name in names:
        if name not in known:
            return reporting.report_failure(ctx.env, edit.NoSuchRow(name))
    _write_rows(ctx, stored.ok.revision, [known[name] for name in names])
    return status.ExitStatus.SUCCESS


async def run_export(ctx: context.Context) -> status.ExitStatus:
    """Write the stored table as a spreadsheet."""
    stored = await _read_stored(ctx)
    if stored.is_error():
        return reporting.report_failure(ctx.env, stored.error)
    text = spreadsheet.write_rows(stored.ok.rows)
    note = f'exported revision {stored.ok.revision}\n'
    if ctx.args.file == '-':
        ctx.env.stdout.write(text)
        ctx.env.stderr.write(note)
        return status.ExitStatus.SUCCESS
    try:
        pathlib.Path(ctx.args.file).write_text(text, 'utf-8', newline='')
    except OSError as error:
        report = reporting.Report(status.ExitStatus.ERROR, (str(error),))
        return reporting.write_report(ctx.env, report)
    ctx.env.stdout.write(note)
    return status.ExitStatus.SUCCESS


async def run_history(ctx: context.Context) -> status.ExitStatus:
    """List the accepted edits, newest first."""
    listed = await tablehistory.list_history(ctx.keyvalue, limit=ctx.args.limit)
    if listed.is_error():
        return reporting.report_failure(ctx.env, listed.error)
    if ctx.json:
        output.write_json(
            ctx.env.stdout,
            [
                {
                    'revision': past.revision,
                    **history.build_stored_entry(past.entry),
                }
                for past in listed.ok
            ],
        )
        return status.ExitStatus.SUCCESS
    output.write_text_table(
        ctx.env.stdout,
        _HISTORY_COLUMNS,
        [
            (
                str(past.revision),
                past.entry.time,
                past.entry.author,
                past.entry.edit_id,
                past.entry.summary,
            )
            for past in listed.ok
        ],
    )
    return status.ExitStatus.SUCCESS


async def run_status(ctx: context.Context) -> status.ExitStatus:
    """Show which revision each instance has in force."""
    edit_id = ctx.args.edit
    snapshot = await edit.read_edit(ctx.keyvalue, edit_id or '')
    if snapshot.is_error():
        return reporting.report_failure(ctx.env, snapshot.error)
    key = table.TABLE_KEY
    if edit_id is not None:
        key = edit.name_history(edit_id)
    entry = snapshot.ok.find(key)
    if entry is None and edit_id is not None:
        return _report_absent(ctx, edit_id, snapshot.ok)
    revision = entry.mod_revision if entry else 0
    rollout = await fleet.check_in_force(ctx, revision)
    _write_rollout(ctx, revision, edit_id, rollout)
    if rollout.fault:
        report = reporting.Report(
            status.ExitStatus.UNAVAILABLE, (rollout.fault,)
        )
        return reporting.write_report(ctx.env, report)
    if rollout.done:
        return status.ExitStatus.SUCCESS
    return status.ExitStatus.NOT_IN_FORCE


def _report_absent(
    ctx: context.Context, edit_id: str, snapshot: operations.Snapshot
) -> status.ExitStatus:
    stored = snapshot.find(table.TABLE_KEY)
    revision = stored.mod_revision if stored else 0
    report = reporting.Report(
        status.ExitStatus.ERROR,
        (
            f'edit {edit_id} is not accepted; the table is at '
            f'revision {revision}',
        ),
        f'make the same edit again with --edit-id {edit_id}: it is '
        'applied at most once',
    )
    return reporting.write_report(ctx.env, report)


def _write_rows(
    ctx: context.Context, revision: int, rows: list[tables.Row]
) -> None:
    if ctx.json:
        output.write_json(
            ctx.env.stdout,
            {'revision': revision, 'rows': [row._asdict() for row in rows]},
        )
        return
    output.write_text_table(
        ctx.env.stdout,
        tables.COLUMNS,
        [[spreadsheet.format_cell(cell) for cell in row] for row in rows],
    )
    ctx.env.stdout.write(f'revision {revision}\n')


def _write_rollout(
    ctx: context.Context,
    revision: int,
    edit_id: str | None,
    rollout: fleet.Rollout,
) -> None:
    if ctx.json:
        output.write_json(
            ctx.env.stdout,
            {
                'revision': revision,
                'edit_id': edit_id,
                **fleet.summarize(rollout),
            },
        )
        return
    if edit_id is not None:
        ctx.env.stdout.write(f'edit {edit_id} is accepted, ')
    ctx.env.stdout.write(f'revision {revision}\n')
    output.write_text_table(
        ctx.env.stdout,
        _STATUS_COLUMNS,
        [
            (
                instance.name,
                instance.availability_zone,
                output.format_content(instance.reported.get('table_revision')),
                state,
            )
            for instance, state in fleet.list_states(rollout)
        ],
    )


async def _read_stored(
    ctx: context.Context,
) -> expression.Result[edit.Stored, edit.StoredInvalid | operations.Failure]:
    snapshot = await ctx.keyvalue.read(table.TABLE_KEY)
    if snapshot.is_error():
        return expression.Error(snapshot.error)
    return edit.read_stored(snapshot.ok)
