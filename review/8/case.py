"""Does a request run with a key that the operator has taken away?

The version that takes the last key away has an empty list of tenants. With
TROUBLE=0 another tenant remains in the list.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import procfleet  # noqa: E402

REVOKE_S = 5.0
CHECK_S = 4.0
OTHER_TENANT = {'name': 'other', 'api_keys': ['key-of-other']}
UNKNOWN_KEY = 'key-that-never-existed'


async def main():
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record = procfleet.Record(FOLDER)
    async with procfleet.Fleet() as fleet:
        first = procfleet.make_configuration(version=10)
        if not is_troubled:
            first['tenants'].append(OTHER_TENANT)
        fleet.store.write('op/config', first)
        for number in range(2):
            await fleet.add_replica(f'i-{number}', work_s=0.02)
        instances = [
            await fleet.add_instance(f'edge-accra-{zone}-1') for zone in 'abc'
        ]
        late, unknown, before = [], [], []

        async def ask(instance, name, key, path):
            data = procfleet.build_request(path, name).replace(
                procfleet.KEY.encode(), key.encode()
            )
            record.write(f'sent {name} to {instance.name}')
            answer = await procfleet.call(instance.port, data)
            record.write(f'answer {name} {answer.status}')
            return answer.status

        for index, instance in enumerate(instances):
            name = f'before-{index}'
            before.append(
                await ask(instance, name, procfleet.KEY, '/once/x')
            )
            if await ask(instance, f'bad-{index}', UNKNOWN_KEY, '/once/x') != 401:
                return 2
        if before != [200] * len(instances):
            return 2
        tenants = [] if is_troubled else [OTHER_TENANT]
        fleet.store.write('op/config', {**first, 'version': 13, 'tenants': tenants})
        acked_s = time.monotonic()
        record.write(f'operator: version 13 acknowledged, tenants {tenants}')
        number = 0
        while time.monotonic() - acked_s < REVOKE_S + CHECK_S:
            for instance in instances:
                number += 1
                sent_s = time.monotonic() - acked_s
                for kind, key in (('revoked', procfleet.KEY), ('unknown', UNKNOWN_KEY)):
                    name = f'{kind}-{number}'
                    await ask(instance, name, key, '/once/x')
                    if sent_s > REVOKE_S:
                        (late if kind == 'revoked' else unknown).append(name)
            await asyncio.sleep(0.2)
        runs = {
            run for replica in fleet.replicas.values() for run in replica.runs
        }
        for run in sorted(runs):
            record.write(f'run {run}')
        broken = [name for name in late if name in runs]
        strange = [name for name in unknown if name in runs]
    print(
        f'sent later than revoke_ms after the acknowledgement: {len(late)} with '
        f'the key that was taken away, of which ran {len(broken)}; with a key '
        f'that never existed {len(unknown)}, of which ran {len(strange)}'
    )
    return 1 if broken else 0


if __name__ == '__main__':
    procfleet.run_case(main)
