import asyncio
import collections
import contextlib
import datetime
import random

import hypothesis
import msgspec
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lavenderledge import clock as clocks
from lavenderledge.controllers import edit as editing
from lavenderledge.controllers import table as controller
from lavenderledge.controllers import tablecopy, tablefeed
from lavenderledge.peers import messages
from lavenderledge.registry import gateway, operations
from lavenderledge.policy import (
    history,
    problems,
    spreadsheet,
    table,
    tablecheck,
    tablemerge,
    tableplan,
)
from tests import steppedkeyvalue, test_keyvalue

PLANS = table.Row('plans', '*', 'calculator', '*', 1)
NAMES = st.text(
    st.characters(exclude_categories=['C', 'Z']), min_size=1, max_size=5
)
NUMBERS = st.floats(0.1, 80_000)
COUNTS = st.integers(1, 1_000_000)


@st.composite
def draw_rows(draw):
    rows = {}
    for name in draw(st.lists(NAMES, unique=True, max_size=4)):
        rate = draw(st.none() | NUMBERS)
        rows[name] = table.Row(
            name,
            draw(st.sampled_from(['*', '=1+1', 'a,"b', name])),
            name.replace('*', '+'),
            draw(NAMES),
            draw(st.integers(1, 4)),
            draw(NUMBERS),
            rate,
            draw(st.none() | COUNTS) if rate else None,
            draw(st.none() | COUNTS),
            draw(COUNTS),
            draw(NUMBERS),
            draw(COUNTS),
            draw(st.booleans()),
        )
    return tuple(rows.values())


def test_the_most_specific_row_is_matched():
    rows = [
        PLANS._replace(row=customer + kind, customer=customer, kind=kind)
        for customer in ('*', 'abyssinia')
        for kind in ('*', 'plan')
    ]
    index = table.RowIndex(rows=rows)
    matched = [
        index.match_row(customer=customer, pool='calculator', kind=kind).row
        for customer in ('abyssinia', 'akwaaba')
        for kind in ('plan', 'note')
    ]
    assert matched == ['abyssiniaplan', 'abyssinia*', '*plan', '**']
    assert index.match_row(customer='x', pool='orders', kind='') is None


def test_every_problem_has_its_row_and_column():
    rows = [
        PLANS._replace(tier=5, weight=float('nan'), burst=2),
        PLANS._replace(row='twin', timeout_s=0, pool='*'),
        PLANS._replace(row='twin', customer=' a'),
        PLANS._replace(row='same'),
    ]
    locations = {
        (problem.row, problem.column) for problem in tablecheck.check_rows(rows)
    }
    assert locations == {
        ('plans', 'tier'),
        ('plans', 'weight'),
        ('plans', 'burst'),
        ('twin', 'timeout_s'),
        ('twin', 'pool'),
        ('twin', 'customer'),
        ('twin', 'row'),
        ('same', 'customer'),
    }


def test_an_oversize_table_is_refused_before_it_is_written():
    rows = tuple(
        PLANS._replace(row=f'{number}', kind=f'{number}' + 'x' * 90)
        for number in range(5001)
    )
    large = tuple(row._replace(customer='y' * 99) for row in rows[:5000])
    too_many = tablecheck.encode_checked(table.Table(rows))
    too_large = tablecheck.encode_checked(table.Table(large))
    assert too_many.error == (problems.TooManyRows(5001),)
    assert isinstance(too_large.error[0], problems.TooLarge)


@pytest.mark.parametrize(
    ('stored', 'column'),
    [
        (b'{', ''),
        (b'\xff', ''),
        (b'{"format":2,"edit_id":"","columns":[],"rows":[]}', ''),
        (
            b'{"format":1,"edit_id":"","columns":["row","pool","tier","x"],'
            b'"rows":[]}',
            'x',
        ),
        (
            b'{"format":1,"edit_id":"","columns":["row","pool","tier"],'
            b'"rows":[["a","b","c"]]}',
            'tier',
        ),
    ],
)
def test_a_malformed_stored_table_is_refused(stored, column):
    assert tablecheck.decode_table(stored).error[0].column == column


@hypothesis.given(draw_rows())
def test_rows_round_trip_through_json_and_csv(rows):
    stored = tablecheck.encode_checked(table.Table(rows, 'e')).ok
    text = spreadsheet.write_rows(rows)
    with_bom_and_crlf = '\ufeff' + text.replace('\n', '\r\n\r\n')
    assert tablecheck.decode_table(stored).ok == table.Table(rows, 'e')
    assert spreadsheet.read_rows(text).ok == rows
    assert spreadsheet.read_rows(with_bom_and_crlf).ok == rows


def test_csv_problems_name_the_row_and_column():
    text = 'row,pool,tier,rate\nplans,p,first,fast\n\nnotes,,4,1,extra\n'
    errors = spreadsheet.read_rows(text).error
    assert [(problem.row, problem.column) for problem in errors] == [
        ('plans', 'tier'),
        ('plans', 'rate'),
        ('notes', '5'),
    ]
    assert spreadsheet.read_rows('row,tier,tier\n').error == (
        problems.RepeatedColumn('', 'tier'),
        problems.MissingCell('', 'pool'),
    )


@hypothesis.given(draw_rows(), draw_rows(), draw_rows())
def test_a_merge_keeps_both_edits_or_reports_the_conflict(base, mine, theirs):
    changes = tablemerge.list_changes(base, mine)
    their_changes = tablemerge.list_changes(base, theirs)
    applied = tablemerge.apply_changes(changes, base).ok
    merged = tablemerge.apply_changes(changes, theirs)
    swapped = tablemerge.apply_changes(their_changes, mine)
    assert set(applied) == set(mine)
    assert set(tablemerge.undo_changes(changes, applied).ok) == set(base)
    assert merged.is_ok() == swapped.is_ok()
    if merged.is_ok():
        assert set(merged.ok) == set(swapped.ok)
        return
    their_rows = {row.row: row for row in theirs}
    base_rows = {row.row: row for row in base}
    for conflict in merged.error:
        their_row = their_rows.get(conflict.row)
        base_row = base_rows.get(conflict.row)
        assert (
            their_row is None
            or base_row is None
            or (
                getattr(their_row, conflict.column)
                != getattr(base_row, conflict.column)
            )
        )


@hypothesis.given(draw_rows(), draw_rows())
def test_history_entries_round_trip(before, after):
    changes = tablemerge.list_changes(before, after)
    entry = history.HistoryEntry('e', 't', 'a', 's', 'r', 1, changes)
    assert history.decode_entry(history.encode_entry(entry)).ok == entry


def make_controller(clock, sent):
    return controller.TableController(
        instance='entry-0',
        clock=clock,
        on_change=lambda in_force: None,
        send_to=lambda instance, message: sent.append(message),
        count=lambda event: None,
    )


class OperatorRaces(stateful.RuleBasedStateMachine):
    """Concurrent edits with lost responses and delayed writes.

    The oracle applies each write in the service's history to a model, cell by
    cell, and compares it with the results of operators and instances.
    """

    def __init__(self):
        super().__init__()
        self.clock = steppedkeyvalue.SteppedClock()
        self.service = steppedkeyvalue.SteppedKeyValue(self.clock)
        self.edits = {}
        self.requested = {}
        self.read_tables = {}
        self.planned_edits = set()
        self.model = {}
        self.written = {}
        self.bodies = {}
        self.snapshots = []
        self.sent = []
        self.instances = [
            make_controller(self.clock, self.sent) for _ in range(2)
        ]
        self.revisions = [0, 0]

        rows = tuple(
            PLANS._replace(row=name, pool=name, queue=1) for name in 'ab'
        )
        body = tablecheck.encode_checked(table.Table(rows, 'first')).ok
        put = operations.Put(controller.TABLE_KEY, body)
        revision = self.service.run(
            gateway.build_transaction((), [put], ())
        ).revision
        self.bodies[revision] = body
        self.model = {row.row: row for row in rows}

    @stateful.rule(
        row=st.sampled_from('ab'),
        cells=st.fixed_dictionaries(
            {},
            optional={
                'tier': st.sampled_from('123'),
                'queue': st.sampled_from('123'),
            },
        ),
    )
    def begin_edit(self, row, cells):
        if len(self.list_open_edits()) < 3:
            edit_id = f'e{len(self.requested)}'
            self.requested[edit_id] = (row, cells)
            self.start(edit_id)

    @stateful.rule(number=st.integers(0, 9))
    def repeat_edit(self, number):
        ended = [
            name for name in self.edits if not self.edits[name].pending_call
        ]
        if ended:
            self.start(ended[number % len(ended)])

    @stateful.rule(row=st.sampled_from('ab'))
    def add_missing_row(self, row):
        if len(self.list_open_edits()) < 3 and row not in self.model:
            edit_id = f'e{len(self.requested)}'
            cells = {'tier': '1', 'queue': '2', 'pool': row}
            self.requested[edit_id] = (row, cells)
            self.start(edit_id)

    def list_open_edits(self):
        return [each for each in self.edits.values() if each.pending_call]

    def start(self, edit_id):
        editor = editing.Editor(
            edit=editing.Edit(
                edit_id,
                'a',
                's',
                edit_id,
                lambda rows: self.plan(edit_id, rows),
                repeated=edit_id in self.edits,
            ),
            keyvalue=self.service,
            clock=self.clock,
            rng=random.Random(0),
        )
        run = editor.run(datetime.timedelta(seconds=1))
        self.planned_edits.discard(edit_id)
        self.edits[edit_id] = steppedkeyvalue.SteppedCoroutine(run)
        self.edits[edit_id].resume('ok')

    def plan(self, edit_id, rows):
        row, cells = self.requested[edit_id]
        if edit_id not in self.planned_edits:
            tables = self.read_tables.setdefault(edit_id, [])
            tables.append({each.row: each for each in rows})
        self.planned_edits.add(edit_id)
        if cells:
            planned = tableplan.plan_set(rows, row, cells)
            return planned.map_error(editing.Refused)
        changes = tableplan.plan_remove(rows, row)
        if changes:
            return editing.expression.Ok(changes)
        return editing.expression.Error(editing.NoSuchRow(row))

    @stateful.rule(
        number=st.integers(0, 2),
        fate=st.sampled_from(['ok', 'ok', 'lost', 'late', 'refused']),
        steps=st.integers(1, 4),
    )
    def step_edit(self, number, fate, steps):
        for _ in range(steps):
            open_edits = self.list_open_edits()
            if open_edits:
                edit = open_edits[number % len(open_edits)]
                edit.resume(fate)
                self.every_write_applies_one_edit()

    @stateful.rule(number=st.integers(0, 2))
    def refuse_edit(self, number):
        open_edits = self.list_open_edits()
        if open_edits:
            edit = open_edits[number % len(open_edits)]
            while edit.pending_call:
                edit.resume('refused')

    @stateful.rule(number=st.integers(0, 3))
    def apply_late_write(self, number):
        if self.service.late:
            late = self.service.late
            self.service.run(late.pop(number % len(late)))

    @stateful.rule(
        index=st.sampled_from([0, 1]),
        action=st.sampled_from(['read', 'apply', 'copy']),
        number=st.integers(0, 5),
    )
    def update_instance(self, index, action, number):
        instance, peer = self.instances[index], self.instances[1 - index]
        if action == 'read':
            self.snapshots.append(self.service.read(controller.TABLE_KEY))
        elif action == 'apply' and self.snapshots:
            snapshot = self.snapshots[number % len(self.snapshots)]
            instance.apply_snapshot(snapshot)
        elif action == 'copy':
            request = messages.TableRequest('entry-0', instance.revision)
            peer.answer_request(request)
            if self.sent:
                instance.accept_copy(self.sent.pop())

    @stateful.invariant()
    def every_write_applies_one_edit(self):
        for event in self.service.store.history:
            pair = event['kv']
            revision = pair['mod_revision']
            if pair['key'] != controller.TABLE_KEY.encode():
                continue
            if revision in self.bodies:
                continue
            self.bodies[revision] = pair['value']
            stored = tablecheck.decode_table(pair['value']).ok
            self.check_write(stored.edit_id)
            self.written[stored.edit_id] = revision
            assert {row.row: row for row in stored.rows} == self.model

    def check_write(self, edit_id):
        assert edit_id not in self.written
        name, cells = self.requested[edit_id]
        current = self.model.get(name)
        rows_read = [rows.get(name) for rows in self.read_tables[edit_id]]
        if not cells:
            assert current in rows_read
            self.model.pop(name)
            return
        requested_row = self.make_row(name, cells)
        if current is None:
            assert None in rows_read
            self.model[name] = requested_row
            return
        for column in cells:
            value = getattr(requested_row, column)
            allowed = {
                getattr(each or requested_row, column) for each in rows_read
            }
            assert getattr(current, column) in allowed | {value}
            current = current._replace(**{column: value})
        self.model[name] = current

    def make_row(self, name, cells):
        texts = {'row': name, 'pool': name, 'tier': '1'} | cells
        return spreadsheet.read_row(texts).ok

    def check_unchanged(self, edit_id, revision):
        name, cells = self.requested[edit_id]
        stored = tablecheck.decode_table(self.bodies[revision]).ok
        stored_row = {row.row: row for row in stored.rows}.get(name)
        if not cells:
            assert stored_row is None
            return
        requested_row = self.make_row(name, cells)
        for column in cells:
            assert getattr(stored_row, column) == getattr(requested_row, column)

    @stateful.invariant()
    def results_match_the_writes(self):
        for edit_id, stepped in self.edits.items():
            result = stepped.result
            if result is None:
                continue
            if result.is_ok() and result.ok.changes:
                assert self.written.get(edit_id) == result.ok.revision
            elif result.is_ok():
                assert edit_id not in self.written
                self.check_unchanged(edit_id, result.ok.revision)
            elif not isinstance(result.error, editing.OutcomeUnknown):
                assert edit_id not in self.written

    @stateful.invariant()
    def the_table_in_force_never_reverts(self):
        for index, instance in enumerate(self.instances):
            assert instance.revision >= self.revisions[index]
            self.revisions[index] = instance.revision
            if instance.in_force:
                body = self.bodies[instance.revision]
                decoded = tablecheck.decode_table(body).ok
                assert instance.in_force.table == decoded


OperatorRaces.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
TestOperatorRaces = OperatorRaces.TestCase


def test_an_invalid_table_is_refused_and_the_one_in_force_stays():
    clock = steppedkeyvalue.SteppedClock()
    sent = []
    instance = make_controller(clock, sent)
    valid = tablecheck.encode_checked(table.Table((PLANS,), 'e')).ok
    invalid = msgspec.json.encode(
        table.StoredTable(
            format=1,
            edit_id='f',
            columns=['row', 'pool', 'tier'],
            rows=[['plans', 'calculator', 9]],
        )
    )

    def receive_copy(revision, stored):
        body = tablecopy.compress(stored)
        instance.accept_copy(messages.TableCopy('entry-1', revision, body))

    receive_copy(5, valid)
    receive_copy(7, invalid)
    receive_copy(8, b'x' * 2_000_000)
    result = instance.read_status()
    instance.note_peer_revision('entry-1', 7)
    assert (result.revision, result.refused_revision) == (5, 7)
    assert 'row plans, column tier' in result.problems[0]
    assert instance.in_force.rows.find_row('plans') == PLANS
    assert not sent


def test_a_peer_with_a_higher_revision_gets_one_request_a_second():
    clock = steppedkeyvalue.SteppedClock()
    sent = []
    instance = make_controller(clock, sent)
    for now_s in (0, 0.5, 1.1):
        clock.now_s = now_s
        instance.note_peer_revision('entry-1', 3)
    assert sent == [messages.TableRequest('entry-0', 0)] * 2


class Races:
    """Concurrent edits of one table that advance one call at a time."""

    def __init__(self):
        self.clock = steppedkeyvalue.SteppedClock()
        self.service = steppedkeyvalue.SteppedKeyValue(self.clock)

    def start(self, edit_id, cells, *, repeated=False):
        def plan(rows):
            planned = tableplan.plan_set(rows, 'plans', cells)
            return planned.map_error(editing.Refused)

        editor = editing.Editor(
            edit=editing.Edit(edit_id, 'a', 's', 'r', plan, repeated=repeated),
            keyvalue=self.service,
            clock=self.clock,
            rng=random.Random(0),
        )
        return steppedkeyvalue.SteppedCoroutine(
            editor.run(datetime.timedelta(seconds=1))
        )

    def finish(self, stepped, fate='ok'):
        while stepped.pending_call:
            stepped.resume(fate)
        return stepped.result


def test_a_cell_that_already_had_the_requested_value_can_conflict():
    races = Races()
    races.finish(races.start('new', {'pool': 'p', 'tier': '1'}))
    first = races.start('first', {'tier': '1', 'queue': '7'})
    first.resume('ok')
    races.finish(races.start('other', {'tier': '2'}))
    result = races.finish(first)
    assert result.error == editing.Conflicted(
        (tablemerge.Conflict('plans', 'tier', 1, 2),)
    )


@pytest.mark.parametrize('reads', [0, 1])
def test_a_repeated_edit_is_unknown_while_it_may_take_effect(reads):
    races = Races()
    first = races.start('e', {'pool': 'p', 'tier': '1'})
    first.resume('ok')
    first.resume('late')
    repeat = races.start('e', {'pool': 'p', 'tier': '1'}, repeated=True)
    for _ in range(reads):
        repeat.resume('ok')
    result = races.finish(repeat, 'refused')
    races.service.run(races.service.late.pop())
    retry = races.start('e', {'pool': 'p', 'tier': '1'}, repeated=True)
    assert isinstance(result.error, editing.OutcomeUnknown)
    assert races.finish(retry).ok.changes


@contextlib.asynccontextmanager
async def run_feed(client, *, watches):
    """Run a feed with a poll interval of at least ten seconds."""
    updates = asyncio.Queue()
    counts = collections.Counter()
    instance = controller.TableController(
        instance='entry-0',
        clock=clocks.SystemClock(),
        on_change=updates.put_nowait,
        send_to=lambda name, message: None,
        count=lambda event: counts.update([event]),
    )
    feed = tablefeed.TableFeed(
        controller=instance,
        keyvalue=client,
        clock=clocks.SystemClock(),
        rng=random.Random(0),
        is_watcher=lambda: watches,
        read_fleet_size=lambda: 2,
        count=lambda event: counts.update([event]),
    )
    task = asyncio.create_task(feed.run())
    try:
        yield updates, counts
    finally:
        task.cancel()
        await asyncio.wait([task])


async def write_table(client, tier):
    rows = (PLANS._replace(tier=tier),)
    body = tablecheck.encode_checked(table.Table(rows, f'e{tier}')).ok
    put = operations.Put(controller.TABLE_KEY, body)
    return (await client.transact((), [put])).ok.revision


async def test_a_watcher_follows_edits_through_outages(monkeypatch):
    monkeypatch.setattr(
        tablefeed, 'WATCH_IDLE_TIMEOUT', datetime.timedelta(seconds=1)
    )
    service = test_keyvalue.make_service()
    async with test_keyvalue.connect(service) as client:
        await write_table(client, 1)
        async with run_feed(client, watches=True) as (updates, counts):
            first = await updates.get()
            service.controls.update({'outage': True})
            while not counts[controller.Event.WATCH_FAILED]:
                await asyncio.sleep(0.01)
            service.controls.update({'outage': False})
            second = await write_table(client, 2)
            assert (await updates.get()).revision == second
            service.controls.update({'silent_watches': True})
            third = await write_table(client, 3)
            assert (await updates.get()).revision == third
    assert first.rows.find_row('plans').tier == 1


async def test_a_non_watcher_polls_and_opens_no_watch():
    service = test_keyvalue.make_service()
    async with test_keyvalue.connect(service) as client:
        revision = await write_table(client, 1)
        async with run_feed(client, watches=False) as (updates, _):
            assert (await updates.get()).revision == revision
    assert not service.controls.counts['watch']
