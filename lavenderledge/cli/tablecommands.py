"""Commands that read the table: show, export, history and status."""

import pathlib

import expression

from lavenderledge import status
from lavenderledge.cli import context, fleet, output, reporting
from lavenderledge.controllers import edit, table, tablehistory
from lavenderledge.policy import history, spreadsheet
from lavenderledge.policy import table as tables
from lavenderledge.registry import operations

_STANDING_COLUMNS = ('instance', 'zone', 'revision', 'table')
_HISTORY_COLUMNS = ('revision', 'time', 'author', 'edit', 'summary')


async def run_show(given: context.Context) -> status.ExitStatus:
    """Show the stored table, or some of its rows."""
    stored = await _read_stored(given)
    if stored.is_error():
        return reporting.report(given.env, stored.error)
    known = {row.row: row for row in stored.ok.rows}
    names = given.given.rows or list(known)
    for name in names:
        if name not in known:
            return reporting.report(given.env, edit.NoSuchRow(name))
    _write_rows(given, stored.ok.revision, [known[name] for name in names])
    return status.ExitStatus.SUCCESS


async def run_export(given: context.Context) -> status.ExitStatus:
    """Write the stored table as a spreadsheet."""
    stored = await _read_stored(given)
    if stored.is_error():
        return reporting.report(given.env, stored.error)
    text = spreadsheet.write_rows(stored.ok.rows)
    note = f'exported revision {stored.ok.revision}\n'
    if given.given.file == '-':
        given.env.stdout.write(text)
        given.env.stderr.write(note)
        return status.ExitStatus.SUCCESS
    try:
        pathlib.Path(given.given.file).write_text(text, 'utf-8', newline='')
    except OSError as error:
        told = reporting.Report(status.ExitStatus.ERROR, (str(error),))
        return reporting.write_report(given.env, told)
    given.env.stdout.write(note)
    return status.ExitStatus.SUCCESS


async def run_history(given: context.Context) -> status.ExitStatus:
    """List the accepted edits, newest first."""
    listed = await tablehistory.list_history(
        given.keyvalue, limit=given.given.limit
    )
    if listed.is_error():
        return reporting.report(given.env, listed.error)
    if given.json:
        output.write_json(
            given.env.stdout,
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
        given.env.stdout,
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


async def run_status(given: context.Context) -> status.ExitStatus:
    """Show which instances have which revision in force."""
    edit_id = given.given.edit
    snapshot = await edit.read_edit(given.keyvalue, edit_id or '')
    if snapshot.is_error():
        return reporting.report(given.env, snapshot.error)
    key = table.TABLE_KEY
    if edit_id is not None:
        key = edit.name_history(edit_id)
    entry = snapshot.ok.find(key)
    if entry is None and edit_id is not None:
        return _report_absent(given, edit_id, snapshot.ok)
    revision = entry.mod_revision if entry else 0
    waited = await fleet.check_in_force(given, revision)
    _write_waited(given, revision, edit_id, waited)
    if waited.fault:
        told = reporting.Report(status.ExitStatus.UNAVAILABLE, (waited.fault,))
        return reporting.write_report(given.env, told)
    if waited.done:
        return status.ExitStatus.SUCCESS
    return status.ExitStatus.NOT_IN_FORCE


def _report_absent(
    given: context.Context, edit_id: str, snapshot: operations.Snapshot
) -> status.ExitStatus:
    stored = snapshot.find(table.TABLE_KEY)
    revision = stored.mod_revision if stored else 0
    told = reporting.Report(
        status.ExitStatus.ERROR,
        (f'edit {edit_id} is not accepted; the table is at {revision}',),
        f'make the same edit again with --edit-id {edit_id}: it is then '
        'made once at most',
    )
    return reporting.write_report(given.env, told)


def _write_rows(
    given: context.Context, revision: int, rows: list[tables.Row]
) -> None:
    if given.json:
        output.write_json(
            given.env.stdout,
            {'revision': revision, 'rows': [row._asdict() for row in rows]},
        )
        return
    output.write_text_table(
        given.env.stdout,
        tables.COLUMNS,
        [[spreadsheet.format_cell(cell) for cell in row] for row in rows],
    )
    given.env.stdout.write(f'revision {revision}\n')


def _write_waited(
    given: context.Context,
    revision: int,
    edit_id: str | None,
    waited: fleet.Waited,
) -> None:
    if given.json:
        output.write_json(
            given.env.stdout,
            {
                'revision': revision,
                'edit_id': edit_id,
                **fleet.summarize(waited),
            },
        )
        return
    if edit_id is not None:
        given.env.stdout.write(f'edit {edit_id} is accepted, ')
    given.env.stdout.write(f'revision {revision}\n')
    output.write_text_table(
        given.env.stdout,
        _STANDING_COLUMNS,
        [
            (
                each.instance,
                each.availability_zone,
                output.format_content(each.told.get('table_revision')),
                state,
            )
            for each, state in fleet.list_states(waited)
        ],
    )


async def _read_stored(
    given: context.Context,
) -> expression.Result[edit.Stored, edit.StoredInvalid | operations.Failure]:
    snapshot = await given.keyvalue.read(table.TABLE_KEY)
    if snapshot.is_error():
        return expression.Error(snapshot.error)
    return edit.read_stored(snapshot.ok)
