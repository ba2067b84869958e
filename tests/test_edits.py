"""Edits of the table by command line during failures."""

import asyncio
import json
import signal

from lavenderledge import status
from tests import processes

NAMES = ('entry-0', 'entry-1', 'entry-2')


async def test_edits_stay_and_reach_everyone():
    async with processes.run_fleet(instances=3, engines=1) as running:
        for case in (
            see_an_edit_everywhere,
            race_two_operators,
            lose_an_answer_just_before_an_outage,
            edit_while_watches_are_silent,
            edit_while_an_instance_is_paused,
        ):
            await case(running)


async def see_an_edit_everywhere(running):
    result = await running.run_command('table', 'set', 'notes', 'tier=2')
    assert result.status == status.ExitStatus.SUCCESS, result.stderr
    assert await read_cells(running, 'notes') == {'2'}
    assert len(await read_revisions(running)) == 1


async def race_two_operators(running):
    edits = [
        running.run_command('table', 'set', row, f'{column}={number}')
        for number in (3, 4)
        for row, column in (('notes', 'queue'), ('plans', 'weight'))
    ]
    result = await asyncio.gather(*edits)
    statuses = {each.status for each in result}
    assert statuses <= {
        status.ExitStatus.SUCCESS,
        status.ExitStatus.CONFLICT,
    }
    shown = await show(running)
    for row, column, first, second in (
        ('notes', 'queue', result[0], result[2]),
        ('plans', 'weight', result[1], result[3]),
    ):
        accepted = [
            number
            for number, each in ((3, first), (4, second))
            if each.status == status.ExitStatus.SUCCESS
        ]
        assert accepted
        assert float(shown[row][column]) in accepted


async def lose_an_answer_just_before_an_outage(running):
    await running.set_switches('keyvalue', lose_answers=1)
    edit = asyncio.create_task(
        running.run_command(
            'table',
            'set',
            'notes',
            'queue=77',
            '--edit-id=lost-1',
            '--timeout=3',
        )
    )

    async def has_taken_effect():
        log = await running.read_json('keyvalue', '/standin/log')
        return any('history/lost-1' in str(each) for each in log['records'])

    await processes.wait_for(has_taken_effect)
    await running.set_switches('keyvalue', outage=True)
    result = await edit
    assert result.status in {
        status.ExitStatus.UNKNOWN_OUTCOME,
        status.ExitStatus.SUCCESS,
        status.ExitStatus.NOT_IN_FORCE,
    }
    await running.set_switches('keyvalue', outage=False)
    settled = await running.run_command('table', 'status', '--edit=lost-1')
    assert settled.status == status.ExitStatus.SUCCESS, settled.stderr
    again = await running.run_command(
        'table', 'set', 'notes', 'queue=77', '--edit-id=lost-1'
    )
    assert again.status == status.ExitStatus.SUCCESS, again.stderr
    history = await running.run_command('table', 'history', '--json')
    assert history.stdout.count('lost-1') == 1
    assert (await show(running))['notes']['queue'] == 77


async def edit_while_watches_are_silent(running):
    await running.set_switches('keyvalue', silent_watches=True)
    result = await running.run_command('table', 'set', 'notes', 'queue=78')
    assert result.status == status.ExitStatus.SUCCESS, result.stderr
    assert len(await read_revisions(running)) == 1


async def edit_while_an_instance_is_paused(running):
    paused = running.programs['entry-1']
    paused.send_signal(signal.SIGSTOP)
    result = await running.run_command(
        'table', 'set', 'notes', 'queue=79', '--timeout=2'
    )
    assert result.status == status.ExitStatus.NOT_IN_FORCE
    assert 'entry-1' in result.stdout + result.stderr
    paused.send_signal(signal.SIGCONT)

    async def is_in_force():
        return len(await read_revisions(running)) == 1

    await processes.wait_for(is_in_force)
    assert (await show(running))['notes']['queue'] == 79


async def show(running):
    result = await running.run_command('table', 'show', '--json')
    return {row['row']: row for row in json.loads(result.stdout)['rows']}


async def read_cells(running, row):
    return {str((await show(running))[row]['tier'])}


async def read_revisions(running):
    found = await asyncio.gather(
        *(running.read_json(name, '/status') for name in NAMES)
    )
    return {each['table_revision'] for each in found}
