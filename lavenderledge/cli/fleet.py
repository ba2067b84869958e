"""The instances, what they tell of themselves, and waiting for them."""

import asyncio
import datetime
import http
import typing
from collections import abc

import aiohttp
import msgspec

from lavenderledge.cli import context
from lavenderledge.registry import instancelist

SERVICE = 'lavenderledge'
ADMIN_PORT = 'admin'
MAX_PARALLEL = 16
CALL_TIMEOUT = datetime.timedelta(seconds=1)
_WAIT_PAUSE_MS = 200
WAIT_PAUSE = datetime.timedelta(milliseconds=_WAIT_PAUSE_MS)


class Standing(typing.NamedTuple):
    """One instance and what it told of itself.

    ``fault`` says why it told nothing; it is empty if it answered.
    """

    instance: str
    availability_zone: str
    terminating: bool
    told: abc.Mapping[str, typing.Any]
    fault: str = ''

    @property
    def revision(self) -> int:
        """Return the revision it has in force; 0 if that is not known."""
        revision = self.told.get('table_revision')
        return revision if isinstance(revision, int) else 0


class Waited(typing.NamedTuple):
    """Which instances have a revision in force, and which are behind.

    ``fault`` says why the instances are not known; it is empty if they are.
    """

    in_force: tuple[Standing, ...]
    behind: tuple[Standing, ...]
    fault: str = ''

    @property
    def done(self) -> bool:
        """Return whether every instance has the revision in force."""
        return not self.behind and not self.fault


class Summary(typing.TypedDict):
    """Who has a revision in force, and who has not and why."""

    in_force: list[str]
    behind: dict[str, str]
    fault: str


def list_instances(
    endpoints: abc.Iterable[instancelist.Endpoint],
) -> list[instancelist.Endpoint]:
    """Return the endpoints that are instances of ours, by name."""
    return sorted(each for each in endpoints if each.pool == SERVICE)


async def read_standings(
    session: aiohttp.ClientSession,
    endpoints: abc.Iterable[instancelist.Endpoint],
) -> list[Standing]:
    """Ask instances for their status, a bounded number at a time."""
    gate = asyncio.Semaphore(MAX_PARALLEL)

    async def read_gated(endpoint: instancelist.Endpoint) -> Standing:
        async with gate:
            return await _read_standing(session, endpoint)

    return await asyncio.gather(*map(read_gated, endpoints))


async def read_fleet(given: context.Context) -> tuple[list[Standing], str]:
    """Return the standing of every listed instance, or why there is none."""
    listed = await given.instances.poll()
    if listed.is_error():
        return [], f'instance list: {listed.error.detail}'
    endpoints = list_instances(listed.ok)
    return await read_standings(given.session, endpoints), ''


async def wait_in_force(given: context.Context, revision: int) -> Waited:
    """Wait until every instance has a revision in force, or the timeout.

    Instances that are terminating or no longer listed are not waited for.
    """
    deadline_s = given.clock.read_monotonic()
    deadline_s += given.settings.timeout.total_seconds()
    while True:
        waited = await check_in_force(given, revision)
        if waited.done or given.clock.read_monotonic() >= deadline_s:
            return waited
        await given.clock.sleep(WAIT_PAUSE)


async def check_in_force(given: context.Context, revision: int) -> Waited:
    """Return which instances have a revision in force now."""
    standings, fault = await read_fleet(given)
    awaited = [each for each in standings if not each.terminating]
    return Waited(
        in_force=tuple(each for each in awaited if each.revision >= revision),
        behind=tuple(each for each in awaited if each.revision < revision),
        fault=fault,
    )


def describe_behind(standing: Standing) -> str:
    """Return why an instance is behind."""
    if standing.fault:
        return f'unreachable: {standing.fault}'
    refused = standing.told.get('table_refused_revision')
    if refused:
        return f'at revision {standing.revision}; refused {refused}'
    return f'at revision {standing.revision}'


def list_states(waited: Waited) -> list[tuple[Standing, str]]:
    """Return every instance waited for, and its state in words, by name."""
    states = [(each, 'in force') for each in waited.in_force]
    states.extend((each, describe_behind(each)) for each in waited.behind)
    return sorted(states, key=lambda state: state[0].instance)


def summarize(waited: Waited) -> Summary:
    """Return who has a revision in force, and who has not and why."""
    return Summary(
        in_force=[each.instance for each in waited.in_force],
        behind={each.instance: describe_behind(each) for each in waited.behind},
        fault=waited.fault,
    )


async def _read_standing(
    session: aiohttp.ClientSession, endpoint: instancelist.Endpoint
) -> Standing:
    standing = Standing(
        instance=endpoint.name,
        availability_zone=endpoint.availability_zone,
        terminating=endpoint.terminating,
        told={},
    )
    port = endpoint.find_port(ADMIN_PORT)
    if port is None:
        return standing._replace(fault='no admin port is listed')
    url = f'http://{endpoint.address}:{port}/status'
    try:
        return standing._replace(told=await _read_status(session, url))
    except asyncio.TimeoutError:
        return standing._replace(fault='no answer in time')
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
        return standing._replace(fault=str(error) or repr(error))


async def _read_status(
    session: aiohttp.ClientSession, url: str
) -> abc.Mapping[str, typing.Any]:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT.total_seconds())
    async with session.get(url, timeout=timeout) as response:
        body = await response.read()
        status = response.status
    if status != http.HTTPStatus.OK:
        raise msgspec.ValidationError(f'status {status}')
    return msgspec.json.decode(body, type=dict[str, typing.Any])
