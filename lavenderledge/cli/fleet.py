"""Status of the instances, and waiting until they apply a revision."""

import asyncio
import datetime
import http
import typing
from collections import abc

import aiohttp
import msgspec

from lavenderledge.cli import context
from lavenderledge.registry import instancelist

INSTANCE_POOL = 'lavenderledge'
ADMIN_PORT = 'admin'
MAX_PARALLEL = 16
CALL_TIMEOUT = datetime.timedelta(seconds=1)
_WAIT_PAUSE_MS = 200
WAIT_PAUSE = datetime.timedelta(milliseconds=_WAIT_PAUSE_MS)


class InstanceStatus(typing.NamedTuple):
    """One instance and the status that it reports.

    ``fault`` is why ``reported`` is empty; empty if the instance answered.
    """

    name: str
    availability_zone: str
    terminating: bool
    reported: abc.Mapping[str, typing.Any]
    fault: str = ''

    @property
    def revision(self) -> int:
        """Return the table revision in force; 0 if it is unknown."""
        revision = self.reported.get('table_revision')
        return revision if isinstance(revision, int) else 0


class Rollout(typing.NamedTuple):
    """Which instances have a revision in force, and which are behind.

    ``fault`` is why the instances are unknown; it is empty if they are known.
    """

    in_force: tuple[InstanceStatus, ...]
    behind: tuple[InstanceStatus, ...]
    fault: str = ''

    @property
    def done(self) -> bool:
        """Whether every instance has the revision in force."""
        return not self.behind and not self.fault


class Summary(typing.TypedDict):
    """Names of the instances in force, and why the others are behind."""

    in_force: list[str]
    behind: dict[str, str]
    fault: str


def list_instances(
    endpoints: abc.Iterable[instancelist.Endpoint],
) -> list[instancelist.Endpoint]:
    """Return the endpoints of this service's instances, sorted by name."""
    return sorted(
        endpoint for endpoint in endpoints if endpoint.pool == INSTANCE_POOL
    )


async def read_statuses(
    session: aiohttp.ClientSession,
    endpoints: abc.Iterable[instancelist.Endpoint],
) -> list[InstanceStatus]:
    """Read the status of instances, ``MAX_PARALLEL`` at a time."""
    semaphore = asyncio.Semaphore(MAX_PARALLEL)

    async def read_limited(endpoint: instancelist.Endpoint) -> InstanceStatus:
        async with semaphore:
            return await _read_instance_status(session, endpoint)

    return await asyncio.gather(*map(read_limited, endpoints))


async def read_fleet(ctx: context.Context) -> tuple[list[InstanceStatus], str]:
    """Return the status of every listed instance, and a fault or ``''``."""
    listed = await ctx.instances.poll()
    if listed.is_error():
        return [], f'instance list: {listed.error.detail}'
    endpoints = list_instances(listed.ok)
    return await read_statuses(ctx.session, endpoints), ''


async def wait_in_force(ctx: context.Context, revision: int) -> Rollout:
    """Wait until all instances have a revision in force or time is up.

    Instances that are terminating or no longer listed are not waited for.
    """
    deadline_s = ctx.clock.read_monotonic()
    deadline_s += ctx.settings.timeout.total_seconds()
    while True:
        rollout = await check_in_force(ctx, revision)
        if rollout.done or ctx.clock.read_monotonic() >= deadline_s:
            return rollout
        await ctx.clock.sleep(WAIT_PAUSE)


async def check_in_force(ctx: context.Context, revision: int) -> Rollout:
    """Return which instances have a revision in force now."""
    statuses, fault = await read_fleet(ctx)
    active = [instance for instance in statuses if not instance.terminating]
    return Rollout(
        in_force=tuple(
            instance for instance in active if instance.revision >= revision
        ),
        behind=tuple(
            instance for instance in active if instance.revision < revision
        ),
        fault=fault,
    )


def describe_behind(instance: InstanceStatus) -> str:
    """Return why an instance is behind."""
    if instance.fault:
        return f'unreachable: {instance.fault}'
    refused = instance.reported.get('table_refused_revision')
    if refused:
        return f'at revision {instance.revision}; refused revision {refused}'
    return f'at revision {instance.revision}'


def list_states(rollout: Rollout) -> list[tuple[InstanceStatus, str]]:
    """Return each instance with a text of its state, sorted by name."""
    states = [(instance, 'in force') for instance in rollout.in_force]
    states.extend(
        (instance, describe_behind(instance)) for instance in rollout.behind
    )
    return sorted(states, key=lambda state: state[0].name)


def summarize(rollout: Rollout) -> Summary:
    """Return a rollout as the record that is written as JSON."""
    return Summary(
        in_force=[instance.name for instance in rollout.in_force],
        behind={
            instance.name: describe_behind(instance)
            for instance in rollout.behind
        },
        fault=rollout.fault,
    )


async def _read_instance_status(
    session: aiohttp.ClientSession, endpoint: instancelist.Endpoint
) -> InstanceStatus:
    instance = InstanceStatus(
        name=endpoint.name,
        availability_zone=endpoint.availability_zone,
        terminating=endpoint.terminating,
        reported={},
    )
    port = endpoint.find_port(ADMIN_PORT)
    if port is None:
        return instance._replace(fault='no admin port is listed')
    url = f'http://{endpoint.address}:{port}/status'
    try:
        return instance._replace(reported=await _read_status(session, url))
    except asyncio.TimeoutError:
        return instance._replace(
            fault=f'no answer within {CALL_TIMEOUT.total_seconds():g} s'
        )
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
        return instance._replace(fault=str(error) or repr(error))


async def _read_status(
    session: aiohttp.ClientSession, url: str
) -> abc.Mapping[str, typing.Any]:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT.total_seconds())
    async with session.get(url, timeout=timeout) as response:
        body = await response.read()
        status = response.status
    if status != http.HTTPStatus.OK:
        raise msgspec.ValidationError(f'HTTP status {status}, expected 200')
    return msgspec.json.decode(body, type=dict[str, typing.Any])
