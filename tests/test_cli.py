import asyncio
import contextlib
import datetime
import io
import json

import pytest
from starlette import applications, responses, routing

from lavenderledge import clock, core, environment, status
from lavenderledge.standins import instancelist, keyvalue, server


PROGRESS = datetime.timedelta(seconds=1)


class Platform:
    """The platform's services, some instances, and the command line."""

    def __init__(self, stack):
        self.stack = stack
        self.service = keyvalue.KeyValue(
            clock=clock.SystemClock(), progress_interval=PROGRESS
        )
        self.instance_list = instancelist.InstanceList(
            clock=clock.SystemClock()
        )
        self.variables = {'USER': 'abebe', 'LAVENDERLEDGE_TIMEOUT': '5'}

    async def open(self):
        self.variables['LAVENDERLEDGE_KEYVALUE'] = await self.serve(
            keyvalue.build_app(self.service)
        )
        self.variables['LAVENDERLEDGE_INSTANCE_LIST'] = await self.serve(
            instancelist.build_app(self.instance_list)
        )

    async def serve(self, app):
        address = await self.stack.enter_async_context(server.serving(app))
        return f'http://{address}'

    async def add_instance(self, name, *, lag=0, terminating=False):
        def show(request):
            reported = {'table_revision': self.service.store.revision - lag}
            return responses.JSONResponse({'instance': name, **reported})

        routes = [routing.Route('/status', show)]
        url = await self.serve(applications.Starlette(routes=routes))
        self.publish_instance(name, int(url.rpartition(':')[2]), terminating)

    def publish_instance(self, name, port, terminating=False):
        self.instance_list.put(
            name,
            {
                'pool': 'lavenderledge',
                'kind': 'instance',
                'zone': 'accra-a',
                'address': '127.0.0.1',
                'ports': {'admin': port},
                'terminating': terminating,
            },
        )

    async def run(self, *args, stdin=''):
        streams = [io.StringIO(stdin), io.StringIO(), io.StringIO()]
        env = environment.Environment(
            stdin=streams[0],
            stdout=streams[1],
            stderr=streams[2],
            variables=self.variables,
        )
        exit_status = await asyncio.to_thread(core.main, args, env)
        return exit_status, streams[1].getvalue(), streams[2].getvalue()


@pytest.fixture
async def platform():
    async with contextlib.AsyncExitStack() as stack:
        opened = Platform(stack)
        await opened.open()
        yield opened


SET_PLANS = ('table', 'set', 'plans', 'pool=calculator', 'tier=1')


async def test_an_edit_is_waited_for_and_shown(platform):
    await platform.add_instance('entry-0')
    platform.publish_instance('entry-1', 1, terminating=True)
    created = await platform.run(*SET_PLANS)
    changed = await platform.run('table', 'set', 'plans', 'rate=2.5', '--json')
    shown = await platform.run('table', 'show', '--json')
    removed = await platform.run('table', 'remove', 'plans')
    listed = await platform.run('table', 'history', '--json')
    shown_status = await platform.run('table', 'status')
    assert created[0] is status.ExitStatus.SUCCESS
    assert 'row plans created' in created[1]
    assert 'in force on 1 of 1 instances' in created[1]
    assert json.loads(changed[1])['waited']['in_force'] == ['entry-0']
    assert json.loads(shown[1])['rows'][0]['rate'] == 2.5
    assert 'row plans removed' in removed[1]
    assert {edit['author'] for edit in json.loads(listed[1])} == {'abebe'}
    assert [edit['summary'].split()[0] for edit in json.loads(listed[1])] == [
        'remove',
        'set',
        'set',
    ]
    assert shown_status[0] is status.ExitStatus.SUCCESS
    assert 'entry-0' in shown_status[1]


async def test_instances_that_are_behind_or_unreachable_are_named(platform):
    await platform.add_instance('entry-0')
    await platform.add_instance('entry-1', lag=1)
    platform.publish_instance('entry-2', 1)
    platform.variables['LAVENDERLEDGE_TIMEOUT'] = '0.5'
    edited = await platform.run(*SET_PLANS)
    shown_status = await platform.run('status')
    assert edited[0] is status.ExitStatus.NOT_IN_FORCE
    assert 'in force on 1 of 3' in edited[1]
    assert 'entry-1: at revision 1' in edited[2]
    assert 'entry-2: unreachable' in edited[2]
    assert shown_status[0] is status.ExitStatus.SUCCESS
    assert 'entry-2' in shown_status[1]


async def test_a_lost_answer_is_resolved_by_the_edit_id(platform):
    await platform.add_instance('entry-0')
    platform.service.controls.update({'lose_answers': 1})
    edited = await platform.run(*SET_PLANS, '--edit-id', 'e1')
    again = await platform.run(*SET_PLANS, '--edit-id', 'e1')
    other = await platform.run('table', 'remove', 'plans', '--edit-id', 'e1')
    shown_status = await platform.run('table', 'status', '--edit', 'e1')
    absent = await platform.run('table', 'status', '--edit', 'e2')
    assert edited[0] is again[0] is status.ExitStatus.SUCCESS
    assert 'edit e1 accepted at revision 2' in edited[1]
    assert edited[1] == again[1]
    assert other[0] is absent[0] is status.ExitStatus.ERROR
    assert 'edit e1 is accepted, revision 2' in shown_status[1]
    assert 'e2 is not accepted' in absent[2]


@pytest.mark.parametrize(
    ('fault', 'flags', 'expected'),
    [
        ({'outage': True}, (), status.ExitStatus.UNAVAILABLE),
        (
            {'outage': True},
            ('--edit-id', 'e1'),
            status.ExitStatus.UNKNOWN_OUTCOME,
        ),
    ],
)
async def test_an_outage_is_unavailable_or_of_unknown_outcome(
    platform, fault, flags, expected
):
    platform.service.controls.update(fault)
    edited = await platform.run(*SET_PLANS, *flags, '--timeout', '0.3')
    assert edited[0] is expected


async def test_an_import_keeps_what_others_changed_since_its_base(platform):
    rows = 'row,pool,tier,queue\nplans,p,1,5\nnotes,q,4,5\n'
    later = rows.replace('plans,p,1', 'plans,p,2').replace('notes,q', 'notes,r')
    first = await platform.run('table', 'import', '-', '--no-wait', stdin=rows)
    await platform.run('table', 'set', 'plans', 'queue=9', '--no-wait')
    second = await platform.run(
        *('table', 'import', '-', '--no-wait', '--base-revision', '2'),
        stdin=later,
    )
    third = await platform.run(
        *('table', 'import', '-', '--no-wait', '--base-revision', '2'),
        stdin=rows.replace('plans,p,1,5', 'plans,p,1,6'),
    )
    exported = await platform.run('table', 'export')
    assert first[0] is second[0] is status.ExitStatus.SUCCESS
    assert third[0] is status.ExitStatus.CONFLICT
    assert 'row plans, column queue' in third[2]
    assert 'plans,*,p,*,2,1,,,,9,' in exported[1]
    assert 'notes,*,r,*,4,1,,,,5,' in exported[1]


async def test_all_problems_of_a_table_or_settings_are_reported_together(
    platform,
):
    imported = await platform.run(
        *('table', 'import', '-', '--no-wait'), stdin='row,pool,tier\na,,9\n'
    )
    edited = await platform.run(
        *SET_PLANS, 'rate=fast', 'colour=red', '--no-wait'
    )
    platform.variables |= {
        'LAVENDERLEDGE_KEYVALUE': 'nowhere',
        'LAVENDERLEDGE_TIMEOUT': '0',
    }
    refused = await platform.run('table', 'show')
    assert imported[0] is edited[0] is status.ExitStatus.ERROR
    assert 'row a, column pool: missing' in imported[2]
    assert 'column rate' in edited[2]
    assert 'column colour' in edited[2]
    assert refused[0] is status.ExitStatus.USAGE
    assert '--keyvalue (LAVENDERLEDGE_KEYVALUE)' in refused[2]
    assert '--timeout (LAVENDERLEDGE_TIMEOUT)' in refused[2]
    assert platform.service.store.revision == 1


async def test_help_and_version_go_to_standard_output(platform):
    help_text = await platform.run('table', 'set', '--help')
    version = await platform.run('--version')
    wrong = await platform.run('table', 'paint')
    assert 'examples:' in help_text[1]
    assert version[1].startswith('lavenderledge ')
    assert wrong[0] is status.ExitStatus.USAGE
    assert 'paint' in wrong[2]
