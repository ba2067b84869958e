"""How many streams a replica takes without long pauses is learned."""

import pytest

from lavenderledge.controllers import pauselimits
from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import pauserisk, slotgrants
from tests import test_slots

TARGET_S = 0.3


def note_streams(risk, loads, *, is_late, now_s=0.0, count=20):
    for load in loads:
        for _ in range(count):
            risk.note(load, is_late=is_late, now_s=now_s)


def test_a_replica_without_streams_takes_its_capacity():
    """Without history, nothing is held back."""
    assert pauserisk.PauseRisk(slots=6).find_limit(0) == 6


def test_any_capacity_that_an_entry_names_is_cheap_to_judge():
    """Another writer may have left an entry with a million slots."""
    risk = pauserisk.PauseRisk(slots=1_000_000)
    note_streams(risk, (500, 1000), is_late=False)
    assert risk.find_limit(0) == 1_000_000
    note_streams(risk, (500,), is_late=True, now_s=1)
    assert risk.find_limit(100) == 1_000_000


@pytest.mark.parametrize('sound', range(6))
def test_the_limit_is_the_highest_load_without_long_pauses(sound):
    """Streams pause beside more than ``sound`` others: slots are not places."""
    risk = pauserisk.PauseRisk(slots=6)
    note_streams(risk, range(1, sound + 1), is_late=False)
    note_streams(risk, range(sound + 1, 7), is_late=True)
    assert risk.find_limit(0) == sound


def test_a_momentary_slowness_changes_nothing_after_seconds():
    """Six streams that are slowed down together must not cost the replica."""
    risk = pauserisk.PauseRisk(slots=6)
    note_streams(risk, (4, 5, 6), is_late=False, count=15)
    note_streams(risk, (6,), is_late=True, now_s=1, count=6)
    note_streams(risk, (4, 5, 6), is_late=False, now_s=4, count=5)
    assert risk.find_limit(4) == 6


def test_a_long_prompt_beside_a_stream_is_no_lasting_change():
    """One late stream among many is no reason to avoid a replica."""
    risk = pauserisk.PauseRisk(slots=6)
    note_streams(risk, (6,), is_late=False, count=10)
    risk.note(6, is_late=True, now_s=0.1)
    assert risk.find_limit(0.1) == 6


def test_a_lasting_change_is_followed_within_seconds():
    """A replica that turns slow is used less within ten streams."""
    risk = pauserisk.PauseRisk(slots=6)
    note_streams(risk, (6,), is_late=False, count=20)
    for number in range(10):
        risk.note(5, is_late=True, now_s=2 + number / 4)
    assert risk.find_limit(5) < 5


def test_an_avoided_replica_is_tried_again():
    """Without streams there is no evidence of a recovery: it must fade."""
    risk = pauserisk.PauseRisk(slots=6)
    note_streams(risk, range(1, 7), is_late=True, count=5)
    assert risk.find_limit(0) == 0
    assert risk.find_limit(60) == 6


def make_state():
    """Return a state of a fast and a slow replica of six slots each."""
    state = test_slots.make_state(('i-fast', 'i-slow'), slots_count=6)
    test_slots.record_answers(state)
    slow = state.find_replica('i-slow')
    note_streams(slow.pause_risk, range(1, 7), is_late=True)
    return state


def ask(state, request_id, **changes):
    spec = test_slots.make_spec(request_id, pause_target_s=TARGET_S, **changes)
    slotgrants.enqueue(state, 'e', spec, 0)


def list_placed(state, now_s=0.0):
    granted, _ = slotgrants.decide(state, now_s)
    return {grant.request_id: grant.replica for grant in granted}


def test_a_timely_stream_waits_for_a_slot_without_long_pauses():
    """A free slot on slow hardware is no place while another is near."""
    state = make_state()
    for number in range(7):
        ask(state, f'r-{number}')
    placed = list_placed(state)
    assert set(placed.values()) == {'i-fast'}
    assert len(placed) == 6
    state.free('r-0')
    assert list_placed(state, 0.1) == {'r-6': 'i-fast'}


@pytest.mark.parametrize(
    'changes', [{'objective_left_s': 0.2}, {'pause_target_s': 0}]
)
def test_a_slot_with_long_pauses_is_a_place_for_others(changes):
    """What would be late anyway, or has no pauses, must not be kept waiting."""
    state = make_state()
    for number in range(6):
        ask(state, f'r-{number}')
    list_placed(state)
    spec = test_slots.make_spec('other', **changes)
    slotgrants.enqueue(state, 'e', spec, 0)
    assert list_placed(state, 0.05) == {'other': 'i-slow'}


def test_a_lower_rank_gets_the_slot_that_a_higher_one_leaves():
    """A slot that the first rank does not want must not stay idle."""
    state = make_state()
    for number in range(7):
        ask(state, f'r-{number}')
    ask(state, 'note', tier=test_slots.NOTE, objective_left_s=0.1)
    assert list_placed(state)['note'] == 'i-slow'


def test_pauses_are_learned_from_readings():
    """A reading without the pause would leave the limit as it was."""
    state = test_slots.make_state(slots_count=2)
    for number in range(12):
        ask(state, f'r-{number}')
        slotgrants.decide(state, number)
        slot = state.free(f'r-{number}')
        state.note_answer(
            slot,
            first_s=0.1,
            slowness=0,
            now_s=number + 0.5,
            longest_pause_s=2 * TARGET_S,
        )
    assert state.find_replica('i-0').pause_risk.find_limit(12) == 0


def test_a_reading_without_a_pause_is_accepted():
    """Instances of the version before send none."""
    assert messages.Reading(0, 0.1, 1).longest_pause_s == 0


def test_a_limit_is_counted_when_it_is_set_and_when_it_is_lifted():
    """An operator must see which replicas are avoided, and no line a tick."""
    counted = []
    record = pauselimits.build_recorder(
        'e', lambda name, change: counted.append(change)
    )
    state = make_state()
    for now_s in (0, 0.1, 60, 60.1):
        record(state, now_s)
    assert counted == ['set', 'lifted']
