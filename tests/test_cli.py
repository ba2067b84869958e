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


class Site:
    """The platform's services, some instances, and a terminal."""

    def __init__(self, stack):
        self.stack = stack
        self.service = keyvalue.KeyValue(
            clock=clock.SystemClock(), progress_interval=PROGRESS
        )
        self.listing = instancelist.InstanceList(clock=clock.SystemClock())
        self.variables = {'USER': 'abebe', 'LAVENDERLEDGE_TIMEOUT': '5'}

    async def open(self):
        self.variables['LAVENDERLEDGE_KEYVALUE'] = await self.serve(
            keyvalue.build_app(self.service)
        )
        self.variables['LAVENDERLEDGE_INSTANCE_LIST'] = await self.serve(
            instancelist.build_app(self.listing)
        )

    async def serve(self, app):
        address = await self.stack.enter_async_context(server.serving(app))
        return f'http://{address}'

    async def add_instance(self, name, *, lag=0, terminating=False):
        def show(request):
            told = {'table_revision': self.service.store.revision - lag}
            return responses.JSONResponse({'instance': name, **told})

        routes = [routing.Route('/status', show)]
        url = await self.serve(applications.Starlette(routes=routes))
        self.publish_instance(name, int(url.rpartition(':')[2]), terminating)

    def publish_instance(self, name, port, terminating=False):
        self.listing.put(
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
        ended = await asyncio.to_thread(core.main, args, env)
        return ended, streams[1].getvalue(), streams[2].getvalue()


@pytest.fixture
async def site():
    async with contextlib.AsyncExitStack() as stack:
        opened = Site(stack)
        await opened.open()
        yield opened


SET_PLANS = ('table', 'set', 'plans', 'pool=calculator', 'tier=1')


async def test_an_edit_is_waited_for_and_shown(site):
    await site.add_instance('entry-0')
    site.publish_instance('entry-1', 1, terminating=True)
    created = await site.run(*SET_PLANS)
    changed = await site.run('table', 'set', 'plans', 'rate=2.5', '--json')
    shown = await site.run('table', 'show', '--json')
    removed = await site.run('table', 'remove', 'plans')
    listed = await site.run('table', 'history', '--json')
    standing = await site.run('table', 'status')
    assert created[0] is status.ExitStatus.SUCCESS
    assert 'row plans created' in created[1]
    assert 'in force on 1 of 1 instances' in created[1]
    assert json.loads(changed[1])['waited']['in_force'] == ['entry-0']
    assert json.loads(shown[1])['rows'][0]['rate'] == 2.5
    assert 'row plans removed' in removed[1]
    assert {each['author'] for each in json.loads(listed[1])} == {'abebe'}
    assert [each['summary'].split()[0] for each in json.loads(listed[1])] == [
        'remove',
        'set',
        'set',
    ]
    assert standing[0] is status.ExitStatus.SUCCESS
    assert 'entry-0' in standing[1]


async def test_instances_that_are_behind_or_unreachable_are_named(site):
    await site.add_instance('entry-0')
    await site.add_instance('entry-1', lag=1)
    site.publish_instance('entry-2', 1)
    site.variables['LAVENDERLEDGE_TIMEOUT'] = '0.5'
    edited = await site.run(*SET_PLANS)
    standing = await site.run('status')
    assert edited[0] is status.ExitStatus.NOT_IN_FORCE
    assert 'in force on 1 of 3' in edited[1]
    assert 'entry-1: at revision 1' in edited[2]
    assert 'entry-2: unreachable' in edited[2]
    assert standing[0] is status.ExitStatus.SUCCESS
    assert 'entry-2' in standing[1]


async def test_a_lost_answer_is_settled_by_the_edit_id(site):
    await site.add_instance('entry-0')
    site.service.controls.update({'lose_answers': 1})
    edited = await site.run(*SET_PLANS, '--edit-id', 'e1')
    again = await site.run(*SET_PLANS, '--edit-id', 'e1')
    other = await site.run('table', 'remove', 'plans', '--edit-id', 'e1')
    standing = await site.run('table', 'status', '--edit', 'e1')
    absent = await site.run('table', 'status', '--edit', 'e2')
    assert edited[0] is again[0] is status.ExitStatus.SUCCESS
    assert 'edit e1 accepted at revision 2' in edited[1]
    assert edited[1] == again[1]
    assert other[0] is absent[0] is status.ExitStatus.ERROR
    assert 'edit e1 is accepted, revision 2' in standing[1]
    assert 'e2 is not accepted' in absent[2]


@pytest.mark.parametrize(
    ('fault', 'given', 'told'),
    [
        ({'outage': True}, (), status.ExitStatus.UNAVAILABLE),
        (
            {'outage': True},
            ('--edit-id', 'e1'),
            status.ExitStatus.UNKNOWN_OUTCOME,
        ),
    ],
)
async def test_an_outage_is_told_without_a_guess(site, fault, given, told):
    site.service.controls.update(fault)
    edited = await site.run(*SET_PLANS, *given, '--timeout', '0.3')
    assert edited[0] is told


async def test_an_import_keeps_what_others_changed_since_its_base(site):
    rows = 'row,pool,tier,queue\nplans,p,1,5\nnotes,q,4,5\n'
    later = rows.replace('plans,p,1', 'plans,p,2').replace('notes,q', 'notes,r')
    first = await site.run('table', 'import', '-', '--no-wait', stdin=rows)
    await site.run('table', 'set', 'plans', 'queue=9', '--no-wait')
    second = await site.run(
        *('table', 'import', '-', '--no-wait', '--base-revision', '2'),
        stdin=later,
    )
    third = await site.run(
        *('table', 'import', '-', '--no-wait', '--base-revision', '2'),
        stdin=rows.replace('plans,p,1,5', 'plans,p,1,6'),
    )
    exported = await site.run('table', 'export')
    assert first[0] is second[0] is status.ExitStatus.SUCCESS
    assert third[0] is status.ExitStatus.CONFLICT
    assert 'row plans, column queue' in third[2]
    assert 'plans,*,p,*,2,1,,,,9,' in exported[1]
    assert 'notes,*,r,*,4,1,,,,5,' in exported[1]


async def test_every_problem_of_a_table_or_a_setting_is_told_at_once(site):
    imported = await site.run(
        *('table', 'import', '-', '--no-wait'), stdin='row,pool,tier\na,,9\n'
    )
    edited = await site.run(*SET_PLANS, 'rate=fast', 'colour=red', '--no-wait')
    site.variables |= {
        'LAVENDERLEDGE_KEYVALUE': 'nowhere',
        'LAVENDERLEDGE_TIMEOUT': '0',
    }
    unset = await site.run('table', 'show')
    assert imported[0] is edited[0] is status.ExitStatus.ERROR
    assert 'row a, column pool: missing' in imported[2]
    assert 'column rate' in edited[2]
    assert 'column colour' in edited[2]
    assert unset[0] is status.ExitStatus.USAGE
    assert '--keyvalue (LAVENDERLEDGE_KEYVALUE)' in unset[2]
    assert '--timeout (LAVENDERLEDGE_TIMEOUT)' in unset[2]
    assert site.service.store.revision == 1


async def test_help_and_version_go_to_standard_output(site):
    helped = await site.run('table', 'set', '--help')
    version = await site.run('--version')
    wrong = await site.run('table', 'paint')
    assert 'examples:' in helped[1]
    assert version[1].startswith('lavenderledge ')
    assert wrong[0] is status.ExitStatus.USAGE
    assert 'paint' in wrong[2]
