"""Entries among those of the replicas that another writer left."""

import json

import pytest

from lavenderledge.platform import documents, store
from lavenderledge.registry import store as stores
from tests import platformfleet, platformreplica, platformstore

DEPTH = 5000
GOOD = {
    'service': 'model',
    'address': '127.0.0.1:9',
    'zone': 'a',
    'version': 'v1',
    'capacity': 4,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 1,
}


def encode(**changes):
    return json.dumps({**GOOD, **changes}).encode()


def nest(opening, closing):
    """Return an entry with an unknown field that is nested deeply."""
    nested = opening * DEPTH + b'1' + closing * DEPTH
    return encode()[:-1] + b', "other": ' + nested + b'}'


ODD_ENTRIES = {
    'nested-lists': nest(b'[', b']'),
    'nested-objects': nest(b'{"a":', b'}'),
    'nested-entry': b'[' * DEPTH + b']' * DEPTH,
    'capacity-too-large': encode(capacity=10**20),
    'capacity-of-64-bits': encode(capacity=2**63 - 1),
    'capacity-zero': encode(capacity=0),
    'cold-for-ages': encode(cold_remaining_ms=1e308),
    'port-too-large': encode(address='127.0.0.1:99999'),
    'port-zero': encode(address='127.0.0.1:0'),
    'port-of-many-digits': encode(address='127.0.0.1:' + '1' * 5000),
    'port-superscript': encode(address='127.0.0.1:8\u00b2'),
    'host-empty': encode(address=':8080'),
    'host-with-space-and-nul': encode(address='a b\0:8080'),
    'host-too-long': encode(address='a' * 300 + ':8080'),
    'service-too-long': encode(service='s' * 300),
    'started-too-late': encode(born=2**70),
    'not-unicode': b'\xff\xfe',
}


@pytest.mark.parametrize('odd', ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
def test_an_odd_entry_names_no_replica(odd):
    assert documents.read_replica(stores.Change('servers/i-9', odd, 1)) is None


@pytest.mark.parametrize('name', ['', 'a b', 'a\r\nTenant: x', '\u00fc', 'a\0'])
def test_a_name_that_no_header_can_carry_names_no_replica(name):
    change = stores.Change(f'servers/{name}', encode(), 1)
    assert documents.read_replica(change) is None


def test_a_valid_entry_names_a_replica():
    change = stores.Change('servers/i-9', encode(born=1777703291000), 1)
    listed = documents.read_replica(change)
    assert listed.is_ready
    assert listed.info.address == '127.0.0.1:9'


def test_deep_documents_of_the_operators_are_invalid():
    nested = b'{"version": 1, "other": ' + b'[' * DEPTH + b']' * DEPTH + b'}'
    assert documents.read_configuration(nested).is_error()


async def test_a_deep_answer_of_the_store_is_malformed():
    async def answer(request, reply):
        nested = b'[' * DEPTH + b']' * DEPTH
        reply.send(200, (), b'{"at": 1, "other": ' + nested + b'}')

    listener = platformstore.build_listener(answer)
    await listener.listen('127.0.0.1', 0)
    client = store.PlatformStore(
        address=f'127.0.0.1:{listener.port}', pool=platformfleet.make_pool()
    )
    listed = await client.list_keys('servers/')
    listener.stop()
    assert listed.error.fault is stores.Fault.MALFORMED


async def test_odd_entries_do_not_stop_an_instance_from_following():
    async with platformfleet.running(replicas=1, instances=2) as fleet:
        new = platformreplica.Replica('i-new')
        fleet.replicas['i-new'] = new
        await new.start()
        # All are read in one answer.
        for number, odd in enumerate(ODD_ENTRIES.values()):
            fleet.store.write(f'servers/i-odd-{number}', odd)
        fleet.store.write('servers/i-new', new.describe())
        allocator = fleet.instances['entry-0']._requester.allocator
        watcher = fleet.instances[allocator]._watcher
        await platformfleet.wait_until(lambda: len(watcher.list_replicas()) > 1)
        names = {info.name for info in watcher.list_replicas()}
        # Only the new replica is left to serve.
        former = fleet.replicas['i-0']
        fleet.store.write('servers/i-0', former.describe(state='draining'))
        await platformfleet.wait_until(
            lambda: len(watcher.list_replicas()) == 1
        )
        responses = [
            await fleet.send('/once/x', instance=f'entry-{number % 2}')
            for number in range(20)
        ]
    assert names == {'i-0', 'i-new'}
    assert {response.status for response in responses} == {200}
    assert len(new.runs) == len(responses)


@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', 'a b\0:80', 'x' * 300 + ':80', ':-1']
)
async def test_a_connection_to_an_odd_address_fails(address):
    pool = platformfleet.make_pool()
    opened = await pool.open(address, timeout_s=1, max_idle_s=0)
    assert opened.is_error()
