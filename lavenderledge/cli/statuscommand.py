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


async def run_status(ctx: context.Context) -> status.ExitStatus:
    """Show the status that every listed instance reports."""
    statuses, fault = await fleet.read_fleet(ctx)
    if fault:
        report = reporting.Report(
            status.ExitStatus.UNAVAILABLE,
            (fault,),
            'check --instance-list, or try again later',
        )
        return reporting.write_report(ctx.env, report)
    if ctx.json:
        output.write_json(ctx.env.stdout, _list_records(statuses))
        return status.ExitStatus.SUCCESS
    output.write_text_table(
        ctx.env.stdout, _COLUMNS, map(_format_status, statuses)
    )
    return status.ExitStatus.SUCCESS


def _list_records(
    statuses: list[fleet.InstanceStatus],
) -> list[dict[str, object]]:
    """Return the reported status merged with the instance list entry."""
    return [
        {
            'availability_zone': instance.availability_zone,
            **instance.reported,
            'instance': instance.name,
            'terminating': instance.terminating,
            'fault': instance.fault,
        }
        for instance in statuses
    ]


def _format_status(instance: fleet.InstanceStatus) -> list[str]:
    return [
        instance.name,
        instance.availability_zone,
        *(
            output.format_content(instance.reported.get(field))
            for field in _FIELDS
        ),
        _describe_fault(instance),
    ]


def _describe_fault(instance: fleet.InstanceStatus) -> str:
    if instance.terminating and not instance.fault:
        return 'terminating'
    return instance.fault
