"""Plays prompts with a part that crashes replicas, beside sound prompts.

The rule (issue 19): more than three requests with such a part, new ones or
repeats, reach replicas, sent later than ``contact_ms`` after the fifth crash.
"""

import asyncio
import typing

import standins3 as standins

CLASS = 'notes'
SERVICE = 'loop-llm'
DEADLY_PART = 'dead0001'


class Plan(typing.NamedTuple):
    """What is sent: groups of deadly prompts, and sound ones between.

    Prompts have ``parts`` shared parts; the deadly one replaces the one at
    ``position``. After ``kill_after`` groups all processes are killed. As many
    prompts with the part as ``answered_before`` are answered before it is deadly.
    """

    group: int
    groups: int
    pause_s: float
    instances: int = 3
    replicas: int = 5
    parts: int = 1
    position: int = 0
    sound_gap_s: float = 0.1
    writes_first: bool = False
    kill_after: int = 0
    answered_before: int = 0


def build_prefix(plan, number, *, deadly):
    parts = [f'5c1e{index:04x}' for index in range(plan.parts)]
    if deadly:
        if plan.parts == 1:
            parts.append(DEADLY_PART)
        else:
            parts[plan.position] = DEADLY_PART
    own = f'{"d" if deadly else "a"}{number:07x}'
    return ','.join(f'{part}:60' for part in (*parts, own))


async def send_prompt(fleet, plan, number, instance, *, deadly):
    fields = [
        ('Model', 'm'),
        ('Token-Count', '1100,40'),
        ('Prompt-Prefix', build_prefix(plan, number, deadly=deadly)),
    ]
    kind = 'deadly' if deadly else 'sound'
    body = b'%s %d' % (kind.encode(), number)
    await fleet.send(kind, instance, f'/{CLASS}/{number}', fields, body)


async def send_sound(fleet, plan):
    tasks = set()
    number = 0
    while True:
        instance = fleet.instances[number % len(fleet.instances)]
        number += 1
        task = asyncio.create_task(
            send_prompt(fleet, plan, number, instance, deadly=False)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(plan.sound_gap_s)


async def kill_all(fleet):
    """Kill all processes at once; they start again after a short delay."""
    fleet.record.note('kills', 'all')
    for instance in fleet.instances:
        instance.kill()
    await asyncio.sleep(1)
    for instance in fleet.instances:
        instance.start()
    await fleet.wait_until_ready()
    fleet.record.note('ready', 'all')
    # Only what machines in touch send counts.
    await asyncio.sleep(standins.CONTACT_S + 0.5)


async def play(fleet, plan):
    has_begun = asyncio.Event()
    await fleet.start(
        instances=plan.instances,
        replicas=plan.replicas,
        service=SERVICE,
        routes=[standins.make_route(CLASS, 'streaming', SERVICE)],
        writes_first=plan.writes_first,
        is_deadly=lambda request: (
            standins.HAS_TROUBLE
            and has_begun.is_set()
            and DEADLY_PART in request.fields.get('prompt-prefix', '')
        ),
    )
    sound = asyncio.create_task(send_sound(fleet, plan))
    await asyncio.sleep(3)
    arrivals = []
    number = 0
    for number in range(1, plan.answered_before + 1):
        instance = fleet.instances[number % len(fleet.instances)]
        await send_prompt(fleet, plan, number, instance, deadly=True)
        await asyncio.sleep(0.5)
    has_begun.set()
    fleet.record.note('part', DEADLY_PART, 'crashes replicas from now on')
    for group in range(plan.groups):
        started_s = fleet.record.now()
        before = count_runs(fleet)
        tasks = []
        for index in range(plan.group):
            number += 1
            instance = fleet.instances[index % len(fleet.instances)]
            tasks.append(
                asyncio.create_task(
                    send_prompt(fleet, plan, number, instance, deadly=True)
                )
            )
        await asyncio.gather(*tasks)
        arrivals.append((started_s, count_runs(fleet) - before))
        await asyncio.sleep(max(0, started_s + plan.pause_s - fleet.record.now()))
        if group + 1 == plan.kill_after and standins.HAS_TROUBLE:
            await kill_all(fleet)
    sound.cancel()
    await asyncio.gather(sound, return_exceptions=True)
    return judge(fleet, arrivals)


def count_runs(fleet):
    return sum(replica.deadly_runs for replica in fleet.replicas)


def judge(fleet, arrivals):
    crashes_s = fleet.list_crashes_s()
    if not standins.HAS_TROUBLE:
        return None
    if len(crashes_s) < 5:
        fleet.record.note('crashes', len(crashes_s))
        print(f'{len(crashes_s)} crashes')
        return None
    bound_s = crashes_s[4] + standins.CONTACT_S
    late = sum(count for sent_s, count in arrivals if sent_s > bound_s)
    fleet.record.note('fifth crash', round(crashes_s[4], 3), 'late', late)
    if late > 3:
        return (
            f'BUDGET: {late} requests with the part reached replicas later than '
            f'contact_ms after the fifth crash, 3 are allowed; '
            f'{len(crashes_s)} crashes'
        )
    print(f'{late} late, {len(crashes_s)} crashes')
    return None
