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

# Digits that tell edits of one second apart.
_ID_DIGITS = 12

_MAX_SUMMARY = 200


class Wanted(typing.NamedTuple):
    """What a command asks for; ``request`` identifies it."""

    summary: str
    request: tuple[str, ...]
    plan: edit.Plan
    replaces: bool = False


async def run_set(given: context.Context) -> status.ExitStatus:
    """Change cells of a row, or create the row."""
    name = given.given.row
    cells: dict[str, str] = {}
    for text in given.given.cells:
        column, equals, content = text.partition('=')
        if not equals or column in cells:
            return _refuse_usage(given, f'{text!r}: expected COLUMN=VALUE once')
        cells[column] = content

    def plan(
        rows: tablemerge.Rows,
    ) -> expression.Result[tablemerge.Changes, edit.Failure]:
        return tableplan.plan_set(rows, name, cells).map_error(edit.Refused)

    summary = ' '.join(['set', name, *given.given.cells])
    request = ('set', name, *sorted(given.given.cells))
    return await _run(given, Wanted(summary, request, plan))


async def run_remove(given: context.Context) -> status.ExitStatus:
    """Remove a row."""
    name = given.given.row

    def plan(
        rows: tablemerge.Rows,
    ) -> expression.Result[tablemerge.Changes, edit.Failure]:
        changes = tableplan.plan_remove(rows, name)
        if not changes:
            return expression.Error(edit.NoSuchRow(name))
        return expression.Ok(changes)

    wanted = Wanted(f'remove {name}', ('remove', name), plan)
    return await _run(given, wanted)


async def run_import(given: context.Context) -> status.ExitStatus:
    """Replace the whole table by a spreadsheet."""
    try:
        text = _read_file(given)
    except (OSError, UnicodeDecodeError) as error:
        told = reporting.Report(
            status.ExitStatus.ERROR, (f'{given.given.file}: {error}',)
        )
        return reporting.write_report(given.env, told)
    rows = spreadsheet.read_rows(text)
    if rows.is_error():
        return reporting.refuse(given.env, rows.error)
    base: tablemerge.Rows | None = None
    if given.given.base_revision is not None:
        past = await tablehistory.read_rows_at(
            given.keyvalue, given.given.base_revision
        )
        if past.is_error():
            return reporting.report(given.env, past.error)
        base = past.ok
    wanted = Wanted(
        summary=f'import {given.given.file}, {len(rows.ok)} rows',
        request=('import', text),
        plan=functools.partial(_plan_import, base, rows.ok),
        replaces=base is None,
    )
    return await _run(given, wanted)


def _plan_import(
    base: tablemerge.Rows | None,
    wanted: tablemerge.Rows,
    rows: tablemerge.Rows,
) -> expression.Result[tablemerge.Changes, edit.Failure]:
    return expression.Ok(
        tablemerge.list_changes(rows if base is None else base, wanted),
    )


def _read_file(given: context.Context) -> str:
    if given.given.file == '-':
        return given.env.stdin.read()
    return pathlib.Path(given.given.file).read_text('utf-8')


def _refuse_usage(given: context.Context, message: str) -> status.ExitStatus:
    told = reporting.Report(
        status.ExitStatus.USAGE,
        (message,),
        f'see {definition.PROGRAM} table set --help',
    )
    return reporting.write_report(given.env, told)


async def _run(given: context.Context, wanted: Wanted) -> status.ExitStatus:
    made = _build_edit(given, wanted)
    editor = edit.Editor(
        edit=made,
        keyvalue=given.keyvalue,
        clock=given.clock,
        rng=given.rng,
    )
    try:
        outcome = await editor.run(given.settings.timeout)
    except asyncio.CancelledError:
        given.env.write_error(
            program=definition.PROGRAM,
            message=f'interrupted; edit {made.edit_id} may be accepted',
            hint=reporting.suggest_status(made.edit_id),
        )
        raise
    if outcome.is_error():
        return reporting.report(given.env, outcome.error)
    return await _tell(given, outcome.ok)


def _build_edit(given: context.Context, wanted: Wanted) -> edit.Edit:
    author = given.given.author or given.env.variables.get('USER') or 'unknown'
    request = hashlib.sha256(msgspec.json.encode(wanted.request))
    return edit.Edit(
        edit_id=given.given.edit_id or _make_id(given),
        author=author,
        summary=wanted.summary[:_MAX_SUMMARY],
        request=request.hexdigest(),
        plan=wanted.plan,
        replaces=wanted.replaces,
        repeated=given.given.edit_id is not None,
    )


def _make_id(given: context.Context) -> str:
    time = given.clock.read_wall().strftime('%Y%m%dT%H%M%SZ')
    return f'{time}-{uuid.uuid4().hex[:_ID_DIGITS]}'


async def _tell(
    given: context.Context, accepted: edit.Accepted
) -> status.ExitStatus:
    if not given.json:
        _write_accepted(given, accepted)
    if given.given.no_wait:
        if given.json:
            _write_json(given, accepted, None)
        return status.ExitStatus.SUCCESS
    waited = await fleet.wait_in_force(given, accepted.revision)
    if given.json:
        _write_json(given, accepted, waited)
    else:
        count = len(waited.in_force)
        total = count + len(waited.behind)
        given.env.stdout.write(f'in force on {count} of {total} instances\n')
    if waited.done:
        return status.ExitStatus.SUCCESS
    return reporting.write_report(given.env, _describe_waited(waited))


def _describe_waited(waited: fleet.Waited) -> reporting.Report:
    messages = [
        f'not yet in force on {each.instance}: {fleet.describe_behind(each)}'
        for each in waited.behind
    ]
    if waited.fault:
        messages.append(f'not known where it is in force: {waited.fault}')
    return reporting.Report(
        status.ExitStatus.NOT_IN_FORCE,
        tuple(messages),
        f'the edit is accepted and stays; see {definition.PROGRAM} table '
        'status',
    )


def _write_accepted(given: context.Context, accepted: edit.Accepted) -> None:
    write = given.env.stdout.write
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
    given: context.Context,
    accepted: edit.Accepted,
    waited: fleet.Waited | None,
) -> None:
    output.write_json(
        given.env.stdout,
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
            'waited': waited and fleet.summarize(waited),
        },
    )
