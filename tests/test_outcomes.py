import pytest

from lavenderledge import outcomes


def test_not_run_is_reported_only_before_the_first_byte():
    dispatch = outcomes.Dispatch()
    before = dispatch.refuse(outcomes.Reason.STOPPING, 'x')
    dispatch.start()
    after = dispatch.refuse(outcomes.Reason.STOPPING, 'x')
    failed = dispatch.refuse(outcomes.Reason.UPSTREAM_FAILED, 'x', failed=True)
    assert before.outcome is outcomes.Outcome.NOT_RUN
    assert after.outcome is outcomes.Outcome.UNKNOWN
    assert failed.outcome is outcomes.Outcome.FAILED


def test_a_request_is_dispatched_at_most_once():
    dispatch = outcomes.Dispatch()
    dispatch.start()
    with pytest.raises(RuntimeError):
        dispatch.start()
