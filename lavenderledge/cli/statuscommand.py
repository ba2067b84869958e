"""The command that shows the instances."""

from lavenderledge import status
from lavenderledge.cli import context, fleet, output, reporting

_FIELDS = (
    'ready',
    'leaving',
    'table_revision',
    'pools',
    'waiting',
    'running',
)
_COLUMNS = ('instance', 'zone', *_FIELDS, 'fault')


async def run_status(given: context.Context) -> status.ExitStatus:
    """Show what every listed instance tells of itself."""
    standings, fault = await fleet.read_fleet(given)
    if fault:
        told = reporting.Report(
            status.ExitStatus.UNAVAILABLE,
            (fault,),
            'check --instance-list, or try again later',
        )
        return reporting.write_report(given.env, told)
    if given.json:
        output.write_json(given.env.stdout, _list_records(standings))
        return status.ExitStatus.SUCCESS
    output.write_text_table(
        given.env.stdout, _COLUMNS, map(_format_standing, standings)
    )
    return status.ExitStatus.SUCCESS


def _list_records(
    standings: list[fleet.Standing],
) -> list[dict[str, object]]:
    """Return what instances told, with what the instance list says."""
    return [
        {
            'availability_zone': each.availability_zone,
            **each.told,
            'instance': each.instance,
            'terminating': each.terminating,
            'fault': each.fault,
        }
        for each in standings
    ]


def _format_standing(standing: fleet.Standing) -> list[str]:
    return [
        standing.instance,
        standing.availability_zone,
        *(output.format_content(standing.told.get(field)) for field in _FIELDS),
        _describe_fault(standing),
    ]


def _describe_fault(standing: fleet.Standing) -> str:
    if standing.terminating and not standing.fault:
        return 'terminating'
    return standing.fault
