"""Versions of the configuration that travel as differences between peers."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from lavenderledge.controllers import configurationhistory
from lavenderledge.http1 import messages
from lavenderledge.policy import documentdeltas
from tests import platformfleet, test_largeconfigurations

DOCUMENTS = st.lists(
    st.sampled_from((b'{"a":1}', b'{"b":2}', b',', b']}', b'x{}', b'}')),
    max_size=30,
).map(b''.join)


@hypothesis.given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
def test_a_delta_leads_from_its_base_to_the_document(base, document, other):
    base_pieces = documentdeltas.split(base)
    assert b''.join(base_pieces) == base
    delta = documentdeltas.compute(base_pieces, documentdeltas.split(document))
    assert documentdeltas.apply(base_pieces, delta) == document
    applied = documentdeltas.apply(documentdeltas.split(other), delta)
    assert applied in {None, document}


def make_content(version, routes):
    document = {'routes': [{'name': f'r-{route}'} for route in routes]}
    return json.dumps({'version': version, **document}).encode()


def make_history(*versions):
    history = configurationhistory.ConfigurationHistory()
    for version, routes in versions:
        content = make_content(version, routes)
        history.add(
            configurationhistory.Stored(version, version * 10, 1, content)
        )
    return history


def test_an_update_of_one_route_is_small():
    routes = list(range(2000))
    sender = make_history((3, routes), (5, [*routes[:900], 'new']))
    receiver = make_history((3, routes))
    update = sender.build_update(3)
    assert sum(len(step.literal) for step in update.steps) < 200
    stored = receiver.apply(update)
    assert stored.content == make_content(5, [*routes[:900], 'new'])
    assert (stored.version, stored.revision, stored.era) == (5, 50, 1)


def test_there_is_no_update_without_a_base_or_of_much():
    sender = make_history((3, []), (5, range(3000)))
    assert sender.build_update(3) is None
    assert sender.build_update(4) is None
    assert sender.build_update(5) is None
    small = make_history((3, []), (5, [1]))
    assert make_history((4, [])).apply(small.build_update(3)) is None
    # Another version of this number, as after a restore of the store.
    assert make_history((3, [7, 8])).apply(small.build_update(3)) is None


async def test_a_small_change_of_a_large_configuration_is_not_read_again():
    make = test_largeconfigurations.make_large_configuration
    async with platformfleet.running() as fleet:
        fleet.store.write('op/config', make(2))
        link = await fleet.add_store_link('entry-1', bytes_per_s=600_000)
        await fleet.add_instance('entry-1', store=link, apply_ms=3000)
        # It asks the store only for what its peer does not tell.
        fleet.instances['entry-1']._watcher._allocates = lambda: False
        for running in fleet.instances.values():
            running._requester._rank_allocators = lambda: ('entry-0', 'entry-1')
        await asyncio.sleep(1)
        for version in range(3, 9):
            fleet.store.write(
                'op/config',
                make(version)
                | {
                    'routes': [
                        *make(version)['routes'],
                        platformfleet.make_route(f'v{version}', 'safe'),
                    ]
                },
            )
            await test_largeconfigurations.wait_for_status(
                fleet,
                'entry-1',
                f'/v{version}/x',
                messages.OK,
                within_s=0.7,
            )
