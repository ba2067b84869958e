"""The pace of requests to an upstream that names a limit."""

import hypothesis
from hypothesis import strategies as st

from lavenderledge.policy import requestpace, slots, upstreamnotices

WINDOW_S = 4.0


def make_notice(limit_per_s, **changes):
    notice = upstreamnotices.Notice(
        limit_per_s, is_leaving=False, is_refusal=False, pause_s=0
    )
    return notice._replace(**changes)


@hypothesis.given(
    st.floats(0.2, 50),
    st.lists(st.floats(0.001, 2), max_size=200),
    st.integers(1, 4),
)
def test_all_allocators_together_keep_to_a_limit(limit, pauses_s, allocators):
    now_s = 0.0
    paces = [requestpace.RequestPace() for _ in range(allocators)]
    sent_s = []
    for pause_s in pauses_s:
        for pace in paces:
            pace.set_rate(limit / allocators, now_s)
            while pace.allows(now_s):
                pace.take(now_s)
                sent_s.append(now_s)
        now_s += pause_s
    for first_s in sent_s:
        count = sum(1 for at_s in sent_s if 0 <= at_s - first_s <= WINDOW_S)
        assert count <= 1.5 * limit * WINDOW_S + 5


def test_a_limit_of_zero_still_lets_an_answer_end_it():
    state = slots.SlotState()
    info = slots.ReplicaInfo('i-0', 'model', 'h:1', 'z', 4, 0)
    state.set_replicas((info,), 0)
    board = upstreamnotices.NoticeBoard()
    board.merge_limit('i-0', upstreamnotices.Limit(0.0, 0))
    state.apply_notices(board, 0)
    replica = state.find_replica('i-0')
    assert not replica.has_free_slot(share=1, now_s=1)
    assert replica.has_free_slot(share=1, now_s=6)
    replica.pace.take(6)
    assert not replica.has_free_slot(share=1, now_s=7)
    board.note(info.upstream, make_notice(None), 7)
    state.apply_notices(board, 7)
    assert replica.has_free_slot(share=1, now_s=7)


def test_the_newest_answer_of_any_instance_decides():
    board = upstreamnotices.NoticeBoard()
    upstream = upstreamnotices.Upstream('i-0', 0)

    def note(limit_per_s, now_s):
        notice = make_notice(limit_per_s)
        return board.note(upstream, notice, now_s)

    assert not note(None, 1)
    assert note(2.0, 2)
    assert not note(2.1, 3)
    board.merge_limit('i-0', upstreamnotices.Limit(9.0, 1.5))
    assert board.list_limits(4)['i-0'].limit_per_s == 2.1
    # A refusal that names no limit does not end one.
    board.note(upstream, make_notice(None, is_refusal=True), 3)
    assert board.list_limits(4)['i-0'].limit_per_s == 2.1
    board.merge_limit('i-0', upstreamnotices.Limit(None, 3.5))
    assert board.list_limits(4)['i-0'].limit_per_s is None
    # Nothing confirms it any more.
    assert not board.list_limits(60)
