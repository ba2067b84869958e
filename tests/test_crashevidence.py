"""Which parts of prompts are quarantined after crashes."""

import hypothesis
from hypothesis import strategies as st

from lavenderledge.policy import crashevidence

SERVICE = 'model'


def lose(evidence, request_id, replica, parts, at_s=0.0, *, has_begun=False):
    evidence.note_lost(
        crashevidence.LostRun(
            request_id,
            SERVICE,
            replica,
            frozenset(parts.split()),
            at_s,
            has_begun=has_begun,
        )
    )


def observe(*parts, at_s=-1.0):
    """Return evidence with answers to requests with these parts."""
    evidence = crashevidence.CrashEvidence()
    for _ in range(10):
        for part in parts:
            evidence.note_answered(SERVICE, frozenset({part}), at_s)
    return evidence


def list_parts(evidence, now_s=1.0):
    evidence.judge(now_s)
    return [
        set(quarantine.parts) for quarantine in evidence.list_quarantines(now_s)
    ]


def test_one_crash_or_one_replica_is_not_enough():
    evidence = crashevidence.CrashEvidence()
    lose(evidence, 'r-1', 'i-1', 'first dead')
    lose(evidence, 'r-2', 'i-1', 'first dead', 5)
    assert list_parts(evidence, 6) == []


def test_the_part_that_was_in_each_crash_is_quarantined():
    evidence = crashevidence.CrashEvidence()
    lose(evidence, 'r-1', 'i-1', 'first dead')
    lose(evidence, 'r-2', 'i-2', 'second dead')
    assert list_parts(evidence) == [{'dead'}]


def test_sound_prompts_with_one_of_two_suspected_parts_still_run():
    evidence = crashevidence.CrashEvidence()
    lose(evidence, 'r-1', 'i-1', 'first dead')
    lose(evidence, 'r-2', 'i-2', 'first dead')
    (quarantine,) = evidence.judge(1)
    assert quarantine.matches(SERVICE, {'first', 'dead', 'more'})
    assert not quarantine.matches(SERVICE, {'first', 'other'})
    assert not quarantine.matches('other', {'first', 'dead'})


def test_a_part_of_answered_requests_is_not_suspected():
    evidence = crashevidence.CrashEvidence()
    lose(evidence, 'r-1', 'i-1', 'sound')
    evidence.note_answered(SERVICE, frozenset({'sound'}), 0.5)
    lose(evidence, 'r-2', 'i-2', 'sound', 0.8)
    assert list_parts(evidence) == []


def test_an_answer_ends_a_quarantine_of_its_parts():
    evidence = crashevidence.CrashEvidence()
    lose(evidence, 'r-1', 'i-1', 'dead')
    lose(evidence, 'r-2', 'i-2', 'dead')
    (quarantine,) = evidence.judge(1)
    evidence.note_answered(SERVICE, frozenset({'first', 'dead'}), 2)
    assert evidence.list_quarantines(2) == ()
    # Another instance still has it.
    evidence.merge(quarantine)
    assert evidence.list_quarantines(2) == ()


def test_several_victims_of_a_crash_share_the_blame():
    evidence = crashevidence.CrashEvidence()
    for crash in ('1', '2'):
        for victim in ('a', 'b'):
            lose(evidence, f'{victim}-{crash}', f'i-{crash}', f'part-{victim}')
    assert list_parts(evidence) == []
    lose(evidence, 'a-3', 'i-3', 'part-a', 2)
    assert list_parts(evidence, 3) == [{'part-a'}]


def test_a_part_that_was_answered_before_is_not_blamed_for_an_unknown_one():
    evidence = crashevidence.CrashEvidence()
    evidence.note_answered(SERVICE, frozenset({'first'}), -5)
    lose(evidence, 'r-1', 'i-1', 'first dead')
    lose(evidence, 'r-2', 'i-1', 'first')
    lose(evidence, 'r-3', 'i-2', 'first dead')
    lose(evidence, 'r-4', 'i-2', 'first')
    assert list_parts(evidence) == [{'dead'}]


def test_a_part_may_become_poison_after_it_was_answered():
    evidence = crashevidence.CrashEvidence()
    evidence.note_answered(SERVICE, frozenset({'dead'}), -5)
    lose(evidence, 'r-1', 'i-1', 'dead')
    lose(evidence, 'r-2', 'i-2', 'dead')
    assert list_parts(evidence) == [{'dead'}]


def test_sound_parts_are_not_quarantined_before_the_first_answer():
    evidence = crashevidence.CrashEvidence()
    for crash, replica in enumerate(('i-0', 'i-1', 'i-2', 'i-3')):
        part = f'first-{crash % 2}'
        lose(evidence, f'p-{crash}', replica, f'dead {part}', crash * 0.1)
        lose(evidence, f's-{crash}', replica, part, crash * 0.1)
    assert list_parts(evidence) == [{'dead'}]


def test_a_wrong_quarantine_is_withdrawn_when_the_crashes_are_explained():
    evidence = crashevidence.CrashEvidence()
    lose(evidence, 's-1', 'i-1', 'sound')
    lose(evidence, 's-2', 'i-2', 'sound')
    (wrong,) = evidence.judge(0.2)
    assert wrong.parts == {'sound'}
    for number in (1, 2, 3):
        lose(evidence, f'p-{number}', f'i-{number}', 'dead', 0.3)
    assert list_parts(evidence) == [{'dead'}]
    # Another instance still has it.
    evidence.merge(wrong)
    assert list_parts(evidence) == [{'dead'}]


def test_a_new_allocator_does_not_blame_the_victims_of_a_quarantined_prompt():
    evidence = crashevidence.CrashEvidence()
    evidence.merge(crashevidence.Quarantine(SERVICE, frozenset({'dead'}), 30.0))
    for crash, replica in enumerate(('i-0', 'i-1', 'i-2')):
        lose(evidence, f'p-{crash}', replica, f'dead first-{crash}')
        lose(evidence, f's-{crash}', replica, 'sound')
        lose(evidence, f't-{crash}', replica, 'sound')
    assert list_parts(evidence) == [{'dead'}]


def test_a_quarantine_lasts_longer_with_each_crash():
    evidence = crashevidence.CrashEvidence()
    lengths_s = []
    for number in range(9):
        lose(evidence, f'p-{number}', f'i-{number}', 'dead', number)
        evidence.judge(number + 0.5)
        lengths_s += [
            quarantine.until_s - number
            for quarantine in evidence.list_quarantines(number + 0.5)
        ]
    assert lengths_s[:4] == [30, 60, 120, 240]
    assert lengths_s[-1] == crashevidence.RETENTION_S


def test_losses_at_faulty_replicas_are_not_blamed_on_prompts():
    evidence = crashevidence.CrashEvidence()
    for number in range(6):
        replica = f'i-{number % 2}'
        lose(evidence, f'r-{number}', replica, f'part-{number}', number)
    lose(evidence, 'r-7', 'i-0', 'part-0', 6)
    lose(evidence, 'r-8', 'i-1', 'part-0', 7)
    assert list_parts(evidence, 8) == []


def test_a_quarantine_and_its_evidence_end():
    evidence = crashevidence.CrashEvidence()
    lose(evidence, 'r-1', 'i-1', 'dead')
    lose(evidence, 'r-2', 'i-2', 'dead')
    assert list_parts(evidence) == [{'dead'}]
    later_s = crashevidence.RETENTION_S + 1
    lose(evidence, 'r-3', 'i-3', 'dead', later_s)
    assert list_parts(evidence, later_s + 1) == []


def test_a_part_that_crashes_after_the_first_byte_is_quarantined():
    """Such runs were no evidence."""
    evidence = observe('first', 'second')
    for crash, replica in enumerate(('i-1', 'i-2', 'i-3')):
        for name, parts in (
            ('p', 'first dead'),
            ('s', 'first'),
            ('t', 'first second'),
        ):
            lose(
                evidence,
                f'{name}-{crash}',
                replica,
                parts,
                crash * 0.3,
                has_begun=True,
            )
    assert list_parts(evidence) == [{'dead'}]


def test_a_running_answer_that_is_lost_twice_accuses_no_part():
    """It went on at a replica that was lost soon after the first one."""
    evidence = observe('first')
    lose(evidence, 'r-1', 'i-1', 'first new', has_begun=True)
    lose(evidence, 'r-1', 'i-2', 'first new', 1.0)
    assert list_parts(evidence, 2.0) == []


def test_requests_that_each_crash_both_replicas_accuse_a_part():
    """The latest losses of both are one request's, which goes on."""
    evidence = observe('first')
    for request in range(3):
        for number, replica in enumerate(('i-1', 'i-2')):
            lose(
                evidence,
                f'r-{request}',
                replica,
                'first dead',
                2 * request + 0.2 * number,
                has_begun=True,
            )
    assert list_parts(evidence, 5.0) == [{'dead'}]


def test_replicas_that_are_lost_together_accuse_no_part_of_running_answers():
    evidence = observe('first')
    for crash in range(4):
        lose(
            evidence,
            f'r-{crash}',
            f'i-{crash}',
            'first new',
            crash * 0.01,
            has_begun=True,
        )
    assert list_parts(evidence) == []


def test_answered_parts_are_not_blamed_for_running_answers_that_are_lost():
    evidence = observe('first')
    for crash in range(4):
        for request in range(6):
            lose(
                evidence,
                f'{crash}-{request}',
                f'i-{crash}',
                'first',
                crash * 0.3,
                has_begun=True,
            )
        assert list_parts(evidence, crash * 0.3 + 0.2) == []


def test_new_parts_of_several_running_answers_share_the_blame():
    evidence = observe('first')
    for crash in ('1', '2'):
        for victim in ('a', 'b'):
            lose(
                evidence,
                f'{victim}-{crash}',
                f'i-{crash}',
                f'first part-{victim}',
                int(crash),
                has_begun=True,
            )
    assert list_parts(evidence, 3) == []


def test_a_new_allocator_does_not_take_parts_for_new():
    """It is told what was lost before it has seen any answers."""
    evidence = crashevidence.CrashEvidence()

    def tell():
        for crash in range(3):
            lose(
                evidence,
                f's-{crash}',
                f'i-{crash}',
                'first',
                crash * 0.3,
                has_begun=True,
            )

    tell()
    assert list_parts(evidence) == []
    for _ in range(10):
        evidence.note_answered(SERVICE, frozenset({'other'}), 1.0)
    tell()
    assert list_parts(evidence, 2.0) == []


def test_answers_of_long_ago_do_not_tell_which_parts_are_new():
    evidence = observe('first')
    evidence.note_answered(SERVICE, frozenset({'first'}), 11.0)
    lose(evidence, 'r-1', 'i-1', 'new', 9.0, has_begun=True)
    lose(evidence, 'r-2', 'i-2', 'new', 12.0, has_begun=True)
    lose(evidence, 'r-3', 'i-3', 'new', 13.0, has_begun=True)
    assert list_parts(evidence, 14.0) == []


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.frozensets(st.sampled_from('abcd'), min_size=1),
            st.booleans(),
        )
    )
)
def test_answered_prompts_are_never_quarantined(steps):
    evidence = crashevidence.CrashEvidence()
    now_s = 0
    answered = []
    for number, (replica, parts, is_answered) in enumerate(steps):
        now_s += 1
        if is_answered:
            evidence.note_answered(SERVICE, parts, now_s)
            answered.append(parts)
        else:
            answered.clear()
            lose(
                evidence, f'r-{number}', f'i-{replica}', ' '.join(parts), now_s
            )
        evidence.judge(now_s + 0.5)
        for quarantine in evidence.list_quarantines(now_s):
            assert not any(
                quarantine.matches(SERVICE, served) for served in answered
            )
