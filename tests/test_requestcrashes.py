"""Which requests are found to crash replicas, from what was lost together."""

import pytest

from lavenderledge.policy import requestcrashes

SETTLED_S = 0.2


class Evidence:
    """Request crashes with a clock of their own."""

    def __init__(self):
        self.now_s = 100.0
        self.crashes = requestcrashes.RequestCrashes()

    def crash(self, replica, *digests, after_s=0.5):
        """Let a replica crash with these requests, and judge."""
        self.now_s += after_s
        for digest in digests:
            self.crashes.note_lost(
                digest, requestcrashes.Crash(replica, self.now_s)
            )
        return self.judge()

    def answer(self, digest, *, ago_s=0.0):
        self.crashes.note_answered(digest, self.now_s - ago_s)
        return self.judge()

    def judge(self):
        verdict = self.crashes.judge(self.now_s + SETTLED_S)
        return [quarantine.digest for quarantine in verdict.imposed]

    def list_refused(self, *, in_s=0.0):
        listed = self.crashes.list_quarantines(self.now_s + in_s)
        return sorted(quarantine.digest for quarantine in listed)


def crash_thrice(evidence, *digests):
    for number in range(3):
        evidence.crash(f'i-{number}', *digests)


def test_a_request_is_refused_from_its_third_crash_on():
    evidence = Evidence()
    imposed = [evidence.crash(f'i-{number}', 'd') for number in range(4)]
    assert imposed == [[], [], ['d'], []]
    assert evidence.list_refused() == ['d']


def test_replicas_under_new_names_and_the_same_one_again_count():
    evidence = Evidence()
    for replica in ('i-0', 'i-0', 'j-0'):
        evidence.crash(replica, 'd', after_s=2)
    assert evidence.list_refused() == ['d']


def test_a_loss_that_is_reported_again_counts_once():
    evidence = Evidence()
    for _ in range(4):
        evidence.crash('i-0', 'd', after_s=0.05)
    assert evidence.list_refused() == []


def test_requests_that_are_lost_with_it_once_or_twice_are_not_refused():
    evidence = Evidence()
    evidence.crash('i-0', 'd', 'once-0', 'twice')
    evidence.crash('i-1', 'd', 'once-1', 'twice')
    evidence.crash('i-2', 'd', 'once-2')
    assert evidence.list_refused() == ['d']


def test_crashes_that_another_request_explains_are_no_evidence():
    evidence = Evidence()
    crash_thrice(evidence, 'd', 'companion')
    assert evidence.list_refused() == ['companion', 'd']
    evidence.crash('i-3', 'd')
    assert evidence.list_refused() == ['d']


@pytest.mark.parametrize('ago_s', [0.0, 60.0])
def test_a_popular_request_is_released_when_an_answer_to_it_is_known(ago_s):
    """Also by an earlier answer, as the other one was never answered."""
    evidence = Evidence()
    crash_thrice(evidence, 'd', 'popular')
    evidence.answer('popular', ago_s=ago_s)
    assert evidence.list_refused() == ['d']


def test_answers_between_the_crashes_clear_a_request():
    evidence = Evidence()
    for number in range(6):
        evidence.crash(f'i-{number}', 'popular')
        evidence.answer('popular')
    assert evidence.list_refused() == []


def test_losses_at_the_same_moment_have_one_cause():
    """A rack fails, and the same request was running on many replicas."""
    evidence = Evidence()
    for number in range(5):
        evidence.crash(f'i-{number}', 'popular', after_s=0.001)
    assert evidence.list_refused() == []


@pytest.mark.parametrize(('was_answered', 'lasts_s'), [(0, 600), (1, 30)])
def test_a_quarantine_ends_and_one_more_crash_imposes_the_next(
    was_answered, lasts_s
):
    evidence = Evidence()
    crash_thrice(evidence, 'd')
    if was_answered:
        evidence.answer('d', ago_s=60)
    assert evidence.list_refused(in_s=lasts_s - 1) == ['d']
    assert evidence.list_refused(in_s=lasts_s + 1) == []
    assert evidence.crash('i-4', 'd', after_s=lasts_s + 1) == ['d']


def test_a_withdrawn_quarantine_does_not_come_back_from_other_instances():
    evidence = Evidence()
    crash_thrice(evidence, 'popular')
    (known,) = evidence.crashes.list_quarantines(evidence.now_s)
    evidence.answer('popular')
    evidence.crashes.merge(known._replace(imposed_s=known.imposed_s + 0.1))
    assert evidence.list_refused() == []


def test_a_quarantine_of_another_allocator_is_kept_until_an_answer():
    former = Evidence()
    crash_thrice(former, 'd')
    evidence = Evidence()
    evidence.now_s = former.now_s
    for quarantine in former.crashes.list_quarantines(former.now_s):
        evidence.crashes.merge(quarantine)
    evidence.crash('i-0', 'other')
    assert evidence.list_refused() == ['d']
    evidence.answer('d')
    assert evidence.list_refused() == []


def test_evidence_is_bounded_and_the_weakest_goes_first():
    evidence = Evidence()
    evidence.crash('i-0', 'd')
    evidence.crash('i-1', 'd')
    for number in range(3000):
        evidence.crash('i-2', f'other-{number}', after_s=0.001)
    assert evidence.crash('i-3', 'd') == ['d']
    assert len(evidence.crashes._suspects) <= 1024
