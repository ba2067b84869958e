"""Decoding checks the bounds of the fields of peer messages."""

import hypothesis
import pytest
from hypothesis import strategies

from lavenderledge.peers import codec, messages, slotmessages
from tests import peermessages

OUT_OF_BOUNDS = [
    (kind, name, value)
    for kind in (
        *peermessages.MESSAGE_TYPES,
        messages.RequestSpec,
        messages.RunningRequest,
    )
    + (messages.Reading, messages.Member)
    + (slotmessages.RequestSpec, slotmessages.HeldSlot, slotmessages.Reading)
    + (slotmessages.UpstreamNotices, slotmessages.ConfigurationUpdate)
    for name, value in peermessages.list_out_of_bounds(kind)
]
OUTER_FIELDS = {
    messages.RequestSpec: (messages.Report, 'waiting'),
    messages.RunningRequest: (messages.Report, 'running'),
    messages.Reading: (messages.Report, 'readings'),
    messages.Member: (messages.Heartbeat, 'members'),
    slotmessages.HeldSlot: (slotmessages.Report, 'held'),
    slotmessages.RequestSpec: (slotmessages.Ask, 'spec'),
    slotmessages.Reading: (slotmessages.Release, 'reading'),
    slotmessages.UpstreamNotices: (slotmessages.Beat, 'notices'),
    slotmessages.ConfigurationUpdate: (slotmessages.Beat, 'update'),
}
SINGLE_FIELDS = {'spec', 'reading', 'notices', 'update'}


def test_every_field_but_digests_flags_and_bodies_is_bounded():
    kinds = (*peermessages.MESSAGE_TYPES, *OUTER_FIELDS)
    unbounded = {
        (kind.__name__, name)
        for kind in kinds
        for name in kind._fields
        if (kind, name) not in {(case[0], case[1]) for case in OUT_OF_BOUNDS}
    }
    assert unbounded == {
        ('NewAsk', 'spec'),
        ('RequestSpec', 'preemptible'),
        ('RequestSpec', 'immediate'),
        ('RequestSpec', 'is_repeat'),
        ('RunningRequest', 'preemptible'),
        ('RunningRequest', 'started'),
        ('Member', 'leaving'),
        ('Reading', 'is_continuation'),
        ('TableCopy', 'body'),
        # The fields of these types are checked separately.
        ('Ask', 'spec'),
        ('Release', 'reading'),
        ('Report', 'notices'),
        ('Beat', 'notices'),
        ('Beat', 'update'),
    }


@pytest.mark.parametrize(('kind', 'name', 'value'), OUT_OF_BOUNDS)
@hypothesis.settings(max_examples=5, derandomize=True, deadline=None)
@hypothesis.given(data=strategies.data())
def test_a_value_outside_a_bound_is_malformed(kind, name, value, data):
    message = data.draw(peermessages.build_strategy(kind))
    message = message._replace(**{name: value})
    if kind in OUTER_FIELDS:
        outer_type, field = OUTER_FIELDS[kind]
        outer = data.draw(peermessages.build_strategy(outer_type))
        inner = message if field in SINGLE_FIELDS else (message,)
        message = outer._replace(**{field: inner})
    encoded = codec.encode(message)
    if encoded.is_error():
        assert encoded.error.fault is not codec.Fault.MALFORMED
        return
    assert codec.decode(encoded.ok).error.fault is codec.Fault.MALFORMED
