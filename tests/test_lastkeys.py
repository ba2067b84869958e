"""Configurations that take the last keys away, and that bring them back."""

import asyncio
import json

import pytest

from lavenderledge.http1 import messages
from lavenderledge.platform import documents
from lavenderledge.policy import routes
from tests import platformfleet

INSTANCES = 3
APPLY_S = 2
DEALER = {'name': 'dealer', 'rate_per_s': 0, 'burst': 0}
# What a configuration without keys may hold in place of its customers.
WITHOUT_KEYS = {
    'no customers': {'tenants': []},
    'null': {'tenants': None},
    'no field': {},
    'no keys': {'tenants': [{**DEALER, 'api_keys': []}]},
    'null keys': {'tenants': [{**DEALER, 'api_keys': None}]},
    'no field of keys': {'tenants': [DEALER]},
    'an empty key': {'tenants': [{**DEALER, 'api_keys': ['']}]},
}
FEATURES = frozenset(('base', 'tenants'))
REJECTED = (messages.UNAUTHORIZED,) * 4


def make_document(version, customers=None):
    """Return a configuration with a public route, by default with keys."""
    document = platformfleet.make_configuration(version)
    document['routes'].append(
        platformfleet.make_route('public', 'unsafe', public=True)
    )
    if customers is not None:
        document.pop('tenants')
        document.update(customers)
    return document


async def send_with_all_keys(fleet, instance, path='/once/x'):
    """Return the statuses for the key, an unknown, an empty one and none."""
    keys = (platformfleet.KEY, 'unknown', '', None)
    responses = [
        await fleet.send(path, instance=instance, key=key) for key in keys
    ]
    return tuple(response.status for response in responses)


async def wait_for_version(fleet, version):
    """Wait until a version is in force; fail if it takes too long."""
    async with asyncio.timeout(APPLY_S):
        await platformfleet.wait_until(
            lambda: all(
                running._watcher.read_version() == version
                for running in fleet.instances.values()
            )
        )


@pytest.mark.parametrize('way', WITHOUT_KEYS)
async def test_without_its_last_key_a_deployment_is_open_to_nobody(way):
    """A configuration without keys admitted requests with any key, or none."""
    async with platformfleet.running(instances=0) as fleet:
        fleet.store.write('op/config', make_document(10))
        for number in range(INSTANCES):
            await fleet.add_instance(f'entry-{number}', features=FEATURES)
        before = await send_with_all_keys(fleet, 'entry-0')
        runs = len(fleet.list_runs())
        fleet.store.write('op/config', make_document(13, WITHOUT_KEYS[way]))
        await wait_for_version(fleet, 13)
        await fleet.add_instance('newcomer', features=FEATURES)
        during = {
            await send_with_all_keys(fleet, name) for name in fleet.instances
        }
        runs_during = len(fleet.list_runs()) - runs
        public = {
            await send_with_all_keys(fleet, name, '/public/x')
            for name in fleet.instances
        }
        fleet.store.write('op/config', make_document(14))
        await wait_for_version(fleet, 14)
        after = {
            await send_with_all_keys(fleet, name) for name in fleet.instances
        }
    assert during == {REJECTED}
    assert runs_during == 0
    assert public == {(messages.OK,) * 4}
    assert {before} == after == {(messages.OK, *REJECTED[1:])}


async def test_a_waiting_request_is_rejected_when_the_last_key_goes():
    """It ran, since the new version admitted everyone."""
    async with platformfleet.running(replicas=0) as fleet:
        running = fleet.instances['entry-0']
        response, _ = await fleet.begin('/once/x')
        await platformfleet.wait_until(lambda: running._forwarder._running)
        fleet.store.write('op/config', make_document(2, {'tenants': []}))
        await wait_for_version(fleet, 2)
        await fleet.add_replica('i-0')
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
        runs = fleet.list_runs()
    assert response.status == messages.UNAUTHORIZED
    assert not runs


@pytest.mark.parametrize('customers', [[], [{**DEALER, 'api_keys': ['new']}]])
async def test_a_public_request_names_no_customer_once_its_key_is_gone(
    customers,
):
    """A waiting request kept the customer of the earlier version."""
    async with platformfleet.running(replicas=0) as fleet:
        running = fleet.instances['entry-0']
        fleet.store.write('op/config', make_document(2))
        await wait_for_version(fleet, 2)
        response, _ = await fleet.begin('/public/x')
        await platformfleet.wait_until(lambda: running._forwarder._running)
        fleet.store.write('op/config', make_document(3, {'tenants': customers}))
        await wait_for_version(fleet, 3)
        replica = await fleet.add_replica('i-0')
        await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
    (received,) = replica.received
    assert response.status == messages.OK
    assert received.fields.find(b'tenant') is None


def test_a_deployment_without_keys_needs_none():
    content = json.dumps(make_document(1, {})).encode()
    configuration = documents.read_configuration(
        content, frozenset(('base',))
    ).ok
    for key in (platformfleet.KEY, None):
        match = routes.match_request(
            configuration, host=platformfleet.HOST, path='/once/x', key=key
        )
        assert match.customer is None
