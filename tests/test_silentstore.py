"""A store that is silent for a while, whatever its calls are waiting for.

The soak's takeover, in virtual time: four instances, a third of the capacity
in use, and an outage of two seconds that begins at any time within the cycle
of calls.
"""

import asyncio
import json

import pytest

from lavenderledge.peers import slotmessages
from tests import simulatedfleet, virtualtime

INSTANCES = 4
REPLICAS = 3
SLOTS = 4
APPLY_S = 2
DRAIN_S = 2
# So that their calls are at different points of their cycles.
START_INTERVAL_S = 0.17
START_S = 3.0
SILENT_S = 2.0
AFTER_S = 2.0
# Each of the three instances that do not allocate sends one request in this
# time, which holds a slot for that long.
REQUEST_INTERVAL_S = 0.0375
HOLD_S = 0.03
DEADLINE_S = 2.0
OBJECTIVE_S = 0.5
# The time within which a watch and a call for the list are repeated.
CYCLE_S = 0.5
STEP_S = 0.025
MAX_WAIT_S = 0.3


class Callers:
    """Requests through the instances that do not allocate."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.refused = []
        self.waits_s = []
        self.sent = 0

    async def run(self, end_s):
        loop = asyncio.get_running_loop()
        nodes = tuple(self.fleet.nodes.values())
        allocator = nodes[0].instance._requester.allocator
        nodes = [node for node in nodes if node.name != allocator]
        requests = []
        while loop.time() < end_s:
            for node in nodes:
                requests.append(asyncio.create_task(self.request(node)))
                await asyncio.sleep(REQUEST_INTERVAL_S / len(nodes))
        await asyncio.gather(*requests)

    async def request(self, node):
        """Wait for a slot and its confirmation, hold the slot, release it."""
        loop = asyncio.get_running_loop()
        running = node.instance
        self.sent += 1
        request_id = f'r{self.sent}'
        requested_s = loop.time()
        decision = await running._requester.acquire(
            slotmessages.RequestSpec(
                request_id,
                'model',
                'dealer',
                0,
                100,
                OBJECTIVE_S,
                DEADLINE_S,
                1,
            )
        )
        if decision.is_error():
            self.refused.append(decision.error.reason)
            return
        slot = decision.ok
        await running._watcher.confirm_replica(
            slot.replica, slot.list_confirmed_s
        )
        self.waits_s.append(loop.time() - requested_s)
        await asyncio.sleep(HOLD_S)
        reading = slotmessages.Reading(0, HOLD_S, 1)
        running._requester.release(request_id, reading=reading)


async def take_store_away(phase_s):
    """Make the store silent at a phase; return what callers saw."""
    fleet = simulatedfleet.Fleet(seed=1, apply_s=APPLY_S, drain_s=DRAIN_S)
    # As on connections that stay open.
    fleet.loss_ratio = 0
    fleet.keeps_order = True
    fleet.write_configuration(1, {'base': False}, {'key'})
    for number in range(REPLICAS):
        entry = {
            'service': 'model',
            'address': f'127.0.0.1:{number + 1}',
            'zone': 'a',
            'capacity': SLOTS,
            'state': 'ready',
        }
        fleet.store.write(f'servers/i-{number}', json.dumps(entry).encode())
    for number in range(INSTANCES):
        fleet.start(f'entry-{number}', 1)
        await asyncio.sleep(START_INTERVAL_S)
    await asyncio.sleep(START_S)
    callers = Callers(fleet)
    loop = asyncio.get_running_loop()
    calling = asyncio.create_task(
        callers.run(loop.time() + 1 + phase_s + SILENT_S + AFTER_S)
    )
    await asyncio.sleep(1 + phase_s)
    fleet.store.mode = 'silent'
    await asyncio.sleep(SILENT_S)
    fleet.store.mode = 'ok'
    await calling
    for name in tuple(fleet.nodes):
        await fleet.stop(name)
    return callers


@pytest.mark.parametrize('step', range(int(CYCLE_S / STEP_S)))
def test_callers_hardly_notice_a_silent_store(step):
    callers = virtualtime.run(lambda: take_store_away(step * STEP_S))
    assert not callers.refused
    assert max(callers.waits_s) < MAX_WAIT_S
