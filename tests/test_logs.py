"""Logs: a bounded queue that never blocks and keeps failures; the schema."""

import ast
import asyncio
import contextlib
import io
import logging
import os
import pathlib
import re

import expression

from lavenderledge import clock as clocks
from lavenderledge import core, environment, logevents, logs, status
from lavenderledge.controllers import peersecret
from tests import platformfleet, processes


def make_bounded_logger(descriptor):
    handler = logs.BoundedHandler(
        descriptor=descriptor, clock=clocks.SystemClock()
    )
    logger = logging.Logger('bounded')
    logger.addHandler(handler)
    return handler, logger


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    read = b''
    try:
        while chunk := os.read(descriptor, 1 << 16):
            read += chunk
    except BlockingIOError:
        pass
    return read.decode().splitlines()


def test_a_blocked_reader_does_not_block_and_keeps_failures():
    read_end, write_end = os.pipe()
    handler, logger = make_bounded_logger(write_end)
    for number in range(20000):
        logs.write_event(logger, 'request', id=number, text='x' * 100)
        if number % 100 == 0:
            handler.flush()
    logs.write_event(logger, 'failed', level=logging.WARNING, id='kept')
    assert handler.dropped > 10000
    lines = []
    for _ in range(200):
        lines += read_lines(read_end)
        handler.flush()
    os.close(read_end)
    os.close(write_end)
    assert any('event=failed' in line and 'id=kept' in line for line in lines)
    assert len(lines) + handler.dropped == 20001


async def test_dropped_lines_are_counted_in_a_line():
    read_end, write_end = os.pipe()
    handler, logger = make_bounded_logger(write_end)
    for number in range(logs.MAX_LINES + 100):
        logs.write_event(logger, 'request', id=number)
    task = asyncio.create_task(handler.run())
    lines = []
    async with asyncio.timeout(10):
        while not any('event=lines_dropped' in line for line in lines):
            lines += read_lines(read_end)
            await asyncio.sleep(0.01)
    task.cancel()
    os.close(read_end)
    os.close(write_end)
    dropped_lines = [line for line in lines if 'lines_dropped' in line]
    assert 'count=600' in dropped_lines[0]


def test_a_closed_reader_is_no_failure():
    read_end, write_end = os.pipe()
    handler, logger = make_bounded_logger(write_end)
    os.close(read_end)
    logs.write_event(logger, 'request', id=1)
    handler.flush()
    os.close(write_end)


def test_trace_finds_a_request_in_the_logs_of_several_instances(tmp_path):
    lines = {
        'a.log': (
            'time=1.000 level=info event=allocator_changed instance=a '
            'before=a after=b\n'
            'time=2.000 level=warning event=request id=r1 status=503 '
            'outcome=refused reason=overloaded allocator=b\n'
            'time=2.100 level=info event=request id=r2 allocator=b\n'
        ),
        'b.log': (
            'time=1.500 level=info event=replicas_changed instance=b '
            'gone="i-1" usable=2\n'
            'not a line of ours\n'
        ),
        'c.log': 'time=1.600 level=info event=store_lost instance=c\n',
    }
    for name, text in lines.items():
        (tmp_path / name).write_text(text)
    paths = [str(tmp_path / name) for name in lines]
    out = io.StringIO()
    env = environment.Environment(
        stdout=out, stderr=io.StringIO(), variables={}
    )
    exit_status = core.main(('trace', 'r1', *paths), env)
    events = [
        line.partition('event=')[2].split()[0]
        for line in out.getvalue().splitlines()
    ]
    assert exit_status is status.ExitStatus.SUCCESS
    assert events == ['allocator_changed', 'replicas_changed', 'request']
    assert core.main(('trace', 'r9', *paths), env) is status.ExitStatus.ERROR


def test_trace_finds_the_slots_that_a_former_allocator_granted(tmp_path):
    former = tmp_path / 'z.log'
    former.write_text(
        'time=1.000 level=debug event=slot_granted instance=z id=r1/b/0\n'
        'time=1.001 level=debug event=slot_granted instance=z id=r10/b/1\n'
    )
    own = tmp_path / 'b.log'
    own.write_text('time=1.100 level=info event=request id=r1 allocator=a\n')
    out = io.StringIO()
    env = environment.Environment(
        stdout=out, stderr=io.StringIO(), variables={}
    )
    exit_status = core.main(('trace', 'r1', str(former), str(own)), env)
    ids = re.findall(r' id=(\S+)', out.getvalue())
    assert exit_status is status.ExitStatus.SUCCESS
    assert [found for found in ids if found != 'r10/b/1'] == ['r1/b/0', 'r1']


class RecordCollector(logging.Handler):
    """Collects log records."""

    def __init__(self):
        super().__init__(logging.DEBUG)
        self.records = []

    def emit(self, record):
        self.records.append(record)


@contextlib.contextmanager
def collect_records():
    logger = logging.getLogger('lavenderledge')
    collector = RecordCollector()
    logger.addHandler(collector)
    logger.setLevel(logging.DEBUG)
    try:
        yield collector.records
    finally:
        logger.removeHandler(collector)
        logger.setLevel(logging.NOTSET)


async def trigger_events(fleet):
    """Trigger most of the events that an instance logs."""
    await fleet.start(instances=2, replicas=2)
    instance = fleet.instances['entry-0']
    await platformfleet.wait_until(
        lambda: instance._registration.count_alive() == 2
    )
    await fleet.send('/safe/x')
    await fleet.send('/nowhere/x')
    await fleet.send('/safe/x', key='key-of-nobody')
    for replica in fleet.replicas.values():
        replica.default_action = 'error'
    for _ in range(6):
        await fleet.send('/safe/x')
    for replica in fleet.replicas.values():
        replica.default_action = 'ok'
    await asyncio.sleep(1)
    for _ in range(6):
        await fleet.send('/safe/x')
    instance.reload(expression.Ok(instance._settings))
    instance.reload(expression.Error(['--listen: no port']))
    fleet.store.write('op/config', b'{')
    fleet.store.mode = 'busy'
    await asyncio.sleep(1)
    fleet.store.mode = 'ok'
    await asyncio.sleep(3)
    for instance in fleet.instances.values():
        instance.request_stop()
    await asyncio.gather(*fleet.tasks.values())


async def test_logged_fields_match_the_schema_and_contain_no_secrets():
    fleet = platformfleet.Fleet()
    try:
        with collect_records() as records:
            await trigger_events(fleet)
            metrics = [
                str(instance._metrics.render(()))
                for instance in fleet.instances.values()
            ]
    finally:
        await fleet.close()
    fields_by_event = {}
    for record in records:
        fields = set(getattr(record, 'fields', {}))
        if record.exc_info:
            fields.add('exception')
        fields_by_event.setdefault(record.getMessage(), set()).update(fields)
    assert fields_by_event == {
        event: set(logevents.SCHEMA[event]) for event in fields_by_event
    }
    assert fields_by_event.keys() >= {
        'request',
        'slot_granted',
        'configuration_accepted',
        'configuration_unreadable',
        'replicas_listed',
        'store_lost',
        'store_regained',
        'allocator_changed',
        'upstream_lost',
        'upstream_regained',
        'instance_started',
        'instance_joined',
        'reloaded',
        'reload_failed',
        'stop_requested',
        'instance_stopped',
    }
    formatter = logs._FieldFormatter()
    output = '\n'.join(
        [formatter.format(record) for record in records] + metrics
    )
    secret = fleet.store.keys[peersecret.STORE_KEY][0].decode()
    assert len(secret) > 20
    for hidden in (platformfleet.KEY, 'key-of-nobody', secret):
        assert hidden not in output
    for name in ('first_byte', 'waiting', 'whole_answer', 'store_call'):
        assert f'lavenderledge_{name}_seconds_bucket' in metrics[0]
    for name in ('upstream_first_byte', 'peer_round_trip', 'loop_delay'):
        assert f'lavenderledge_{name}_seconds_bucket' in metrics[0]


def list_calls(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            name = node.func.attr
            if name in {'write_event', '_log', '_log_decision', 'exception'}:
                yield node


def test_all_events_are_in_the_schema_and_documented():
    root = pathlib.Path(logs.__file__).parent
    files = [
        *root.glob('proxy/*.py'),
        *root.glob('peers/*.py'),
        *root.glob('controllers/slot*.py'),
        *root.glob('controllers/quarantine*.py'),
        root / 'daemon/tasks.py',
    ]
    event_names = set()
    for path in files:
        for call in list_calls(ast.parse(path.read_text())):
            for argument in call.args:
                if isinstance(argument, ast.Constant):
                    event_names.add(argument.value)
    assert event_names
    assert event_names <= logevents.SCHEMA.keys()
    page = (root.parent / 'docs/OPERATIONS.md').read_text()
    assert [name for name in logevents.SCHEMA if f'`{name}' not in page] == []


async def read_text(fleet, name, path):
    address = fleet.programs[name].addresses['admin']
    async with fleet.session.get(f'http://{address}{path}') as response:
        return await response.text()


async def test_the_daemon_never_shows_its_secret(tmp_path):
    path = tmp_path / 'fleet.log'
    async with processes.run_fleet(
        flags=('--log-level=debug',), log_path=str(path)
    ) as fleet:
        response = await fleet.request_model('entry-0')
        assert response.status == 200
        outputs = [
            await read_text(fleet, name, page)
            for name in ('entry-0', 'entry-1')
            for page in ('/status', '/metrics', '/live', '/ready')
        ]
        secret = fleet.key_pair.secret.decode()
    outputs.append(path.read_text())
    assert 'event=instance_started' in outputs[-1]
    assert secret not in '\n'.join(outputs)
