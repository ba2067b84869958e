"""Error messages, hints and exit statuses for failures."""

import typing

from lavenderledge import environment, status
from lavenderledge.cli import definition
from lavenderledge.controllers import edit, tablehistory
from lavenderledge.policy import problems, spreadsheet, tablemerge
from lavenderledge.registry import operations


class Report(typing.NamedTuple):
    """The exit status, error messages and hint for a failure."""

    status: status.ExitStatus
    messages: tuple[str, ...]
    hint: str | None = None


def report_failure(
    env: environment.Environment,
    failure: edit.Failure | tablehistory.Failure,
) -> status.ExitStatus:
    """Write a failure and return its exit status."""
    return write_report(env, _describe(failure))


def write_report(
    env: environment.Environment, report: Report
) -> status.ExitStatus:
    """Write each message as an error, then the hint."""
    *first, last = report.messages
    for message in first:
        env.write_error(program=definition.PROGRAM, message=message)
    env.write_error(program=definition.PROGRAM, message=last, hint=report.hint)
    return report.status


def report_problems(
    env: environment.Environment, invalid: problems.Problems
) -> status.ExitStatus:
    """Write the problems of a table and return the exit status."""
    return write_report(env, _describe_problems(invalid))


def _describe(failure: edit.Failure | tablehistory.Failure) -> Report:
    match failure:
        case edit.Refused():
            return _describe_problems(failure.problems)
        case edit.Conflicted():
            return Report(
                status.ExitStatus.CONFLICT,
                tuple(map(_describe_conflict, failure.conflicts)),
                'nothing was changed; check "table show" and repeat the edit',
            )
        case edit.StoredInvalid():
            return Report(
                status.ExitStatus.ERROR,
                (
                    'the stored table is not valid',
                    *map(problems.describe, failure.problems),
                ),
                'replace it with "table import"',
            )
        case edit.NotAccepted() | edit.OutcomeUnknown():
            return _describe_unconfirmed(failure)
        case (
            edit.NoSuchRow()
            | edit.EditIdReused()
            | tablehistory.RevisionUnavailable()
        ):
            return _describe_refusal(failure)
        case _:
            return _describe_unavailable(failure)


def _describe_problems(invalid: problems.Problems) -> Report:
    return Report(
        status.ExitStatus.ERROR,
        tuple(map(problems.describe, invalid)),
        'nothing was changed; correct the table and try again',
    )


def _describe_conflict(conflict: tablemerge.Conflict) -> str:
    current = spreadsheet.format_cell(conflict.current)
    return (
        f'row {conflict.row}, column {conflict.column}: '
        f'changed by another edit, current value {current!r}'
    )


def _describe_unconfirmed(
    failure: edit.NotAccepted | edit.OutcomeUnknown,
) -> Report:
    if isinstance(failure, edit.NotAccepted):
        return Report(
            status.ExitStatus.UNAVAILABLE,
            (f'the edit was not accepted: {failure.detail}',),
            'nothing was changed; try again later',
        )
    return Report(
        status.ExitStatus.UNKNOWN_OUTCOME,
        (
            f'the outcome of edit {failure.edit_id} is unknown: '
            f'{failure.detail}',
        ),
        suggest_status(failure.edit_id),
    )


def suggest_status(edit_id: str) -> str:
    """Return the hint for an edit whose outcome is unknown."""
    return (
        f'see {definition.PROGRAM} table status --edit {edit_id}, or make '
        f'the same edit again with --edit-id {edit_id}'
    )


def _describe_refusal(
    failure: edit.NoSuchRow
    | edit.EditIdReused
    | tablehistory.RevisionUnavailable,
) -> Report:
    refused = status.ExitStatus.ERROR
    match failure:
        case edit.NoSuchRow():
            return Report(
                refused,
                (f'no row {failure.row}',),
                'see "table show" for the rows',
            )
        case edit.EditIdReused():
            return Report(
                refused,
                (
                    f'edit id {failure.edit_id} belongs to another edit: '
                    f'{failure.summary}',
                ),
                'omit --edit-id to make a new edit',
            )
        case tablehistory.RevisionUnavailable():
            return Report(
                refused,
                (f'revision {failure.revision}: {failure.detail}',),
                'export the table again and repeat the changes there',
            )


def _describe_unavailable(failure: operations.Failure) -> Report:
    return Report(
        status.ExitStatus.UNAVAILABLE,
        (f'key-value service: {failure.detail}',),
        'check --keyvalue, or try again later',
    )
