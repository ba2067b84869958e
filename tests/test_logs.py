"""Log lines: bounded, never blocking, failures kept before successes."""

import ast
import asyncio
import contextlib
import io
import logging
import os
import pathlib

import expression

from lavenderledge import clock as clocks
from lavenderledge import core, environment, logevents, logs, status
from lavenderledge.proxy import instance as instances
from tests import platformfleet, processes


def make_logger(descriptor):
    handler = logs.BoundedHandler(
        descriptor=descriptor, clock=clocks.SystemClock()
    )
    logger = logging.Logger('bounded')
    logger.addHandler(handler)
    return handler, logger


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    read = b''
    try:
        while part := os.read(descriptor, 1 << 16):
            read += part
    except BlockingIOError:
        pass
    return read.decode().splitlines()


def test_a_stopped_reader_delays_nothing_and_failures_are_kept():
    reading, writing = os.pipe()
    handler, logger = make_logger(writing)
    for number in range(20000):
        logs.write_event(logger, 'request', id=number, text='x' * 100)
        if number % 100 == 0:
            handler.flush()
    logs.write_event(logger, 'failed', level=logging.WARNING, id='kept')
    assert handler.dropped > 10000
    lines = []
    for _ in range(200):
        lines += read_all(reading)
        handler.flush()
    os.close(reading)
    os.close(writing)
    assert any('event=failed' in line and 'id=kept' in line for line in lines)
    assert len(lines) + handler.dropped == 20001


async def test_what_was_dropped_is_told():
    reading, writing = os.pipe()
    handler, logger = make_logger(writing)
    for number in range(logs.MAX_LINES + 100):
        logs.write_event(logger, 'request', id=number)
    task = asyncio.create_task(handler.run())
    lines = []
    async with asyncio.timeout(10):
        while not any('event=lines_dropped' in line for line in lines):
            lines += read_all(reading)
            await asyncio.sleep(0.01)
    task.cancel()
    os.close(reading)
    os.close(writing)
    told = [line for line in lines if 'lines_dropped' in line]
    assert 'count=600' in told[0]


def test_a_reader_that_has_gone_is_no_failure():
    reading, writing = os.pipe()
    handler, logger = make_logger(writing)
    os.close(reading)
    logs.write_event(logger, 'request', id=1)
    handler.flush()
    os.close(writing)


def test_a_request_is_traced_over_the_logs_of_its_instances(tmp_path):
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
    ended = core.main(('trace', 'r1', *paths), env)
    told = [
        line.partition('event=')[2].split()[0]
        for line in out.getvalue().splitlines()
    ]
    assert ended is status.ExitStatus.SUCCESS
    assert told == ['allocator_changed', 'replicas_changed', 'request']
    assert core.main(('trace', 'r9', *paths), env) is status.ExitStatus.ERROR


class Capture(logging.Handler):
    """Keeps the records of the system's own loggers."""

    def __init__(self):
        super().__init__(logging.DEBUG)
        self.records = []

    def emit(self, record):
        self.records.append(record)


@contextlib.contextmanager
def capture_debug():
    logger = logging.getLogger('lavenderledge')
    captured = Capture()
    logger.addHandler(captured)
    logger.setLevel(logging.DEBUG)
    try:
        yield captured.records
    finally:
        logger.removeHandler(captured)
        logger.setLevel(logging.NOTSET)


async def play_all(fleet):
    """Meet most of what an instance logs."""
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
    for each in fleet.instances.values():
        each.request_stop()
    await asyncio.gather(*fleet.tasks.values())


async def test_events_have_the_fields_of_the_schema_and_no_secrets():
    fleet = platformfleet.Fleet()
    try:
        with capture_debug() as records:
            await play_all(fleet)
            metrics = [
                str(each._metrics.render(()))
                for each in fleet.instances.values()
            ]
    finally:
        await fleet.close()
    found = {}
    for record in records:
        fields = set(getattr(record, 'fields', {}))
        if record.exc_info:
            fields.add('exception')
        found.setdefault(record.getMessage(), set()).update(fields)
    assert found == {event: set(logevents.SCHEMA[event]) for event in found}
    assert found.keys() >= {
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
    formatter = logs._Fields()
    told = '\n'.join([formatter.format(each) for each in records] + metrics)
    secret = fleet.store.keys[instances.PEER_SECRET_STORE_KEY][0].decode()
    assert len(secret) > 20
    for hidden in (platformfleet.KEY, 'key-of-nobody', secret):
        assert hidden not in told
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


def test_each_event_in_the_code_is_in_the_schema_and_on_the_page():
    root = pathlib.Path(logs.__file__).parent
    files = [
        *root.glob('proxy/*.py'),
        *root.glob('peers/*.py'),
        *root.glob('controllers/slot*.py'),
        root / 'daemon/tasks.py',
    ]
    named = set()
    for path in files:
        for call in list_calls(ast.parse(path.read_text())):
            for argument in call.args:
                if isinstance(argument, ast.Constant):
                    named.add(argument.value)
    assert named
    assert named <= logevents.SCHEMA.keys()
    page = (root.parent / 'docs/OPERATIONS.md').read_text()
    assert [name for name in logevents.SCHEMA if f'`{name}' not in page] == []


async def read_text(fleet, name, path):
    address = fleet.programs[name].addresses['admin']
    async with fleet.session.get(f'http://{address}{path}') as response:
        return await response.text()


async def test_the_daemon_tells_its_secret_nowhere(tmp_path):
    path = tmp_path / 'fleet.log'
    async with processes.run_fleet(
        flags=('--log-level=debug',), log_path=str(path)
    ) as fleet:
        answer = await fleet.request_model('entry-0')
        assert answer.status == 200
        told = [
            await read_text(fleet, name, page)
            for name in ('entry-0', 'entry-1')
            for page in ('/status', '/metrics', '/live', '/ready')
        ]
        secret = fleet.pair.secret.decode()
    told.append(path.read_text())
    assert 'event=instance_started' in told[-1]
    assert secret not in '\n'.join(told)
