"""The bounds of peer messages' fields."""

import hypothesis
import pytest
from hypothesis import strategies

from lavenderledge.peers import codec, messages, slotmessages
from tests import peermessages

BOUNDED = [
    (kind, name, wrong)
    for kind in (
        *peermessages.KINDS,
        messages.RequestSpec,
        messages.RunningRequest,
    )
    + (messages.Reading, messages.Member)
    + (slotmessages.RequestSpec, slotmessages.HeldSlot, slotmessages.Reading)
    for name, wrong in peermessages.list_bounded(kind)
]
HOLDERS = {
    messages.RequestSpec: (messages.Report, 'waiting'),
    messages.RunningRequest: (messages.Report, 'running'),
    messages.Reading: (messages.Report, 'readings'),
    messages.Member: (messages.Heartbeat, 'members'),
    slotmessages.HeldSlot: (slotmessages.Report, 'held'),
    slotmessages.RequestSpec: (slotmessages.Ask, 'spec'),
    slotmessages.Reading: (slotmessages.Release, 'reading'),
}
SINGLE = {'spec', 'reading'}


def test_every_field_but_digests_flags_and_bodies_is_bounded():
    kinds = (*peermessages.KINDS, *HOLDERS)
    free = {
        (kind.__name__, name)
        for kind in kinds
        for name in kind._fields
        if (kind, name) not in {(each[0], each[1]) for each in BOUNDED}
    }
    assert free == {
        ('NewAsk', 'spec'),
        ('RequestSpec', 'preemptible'),
        ('RequestSpec', 'immediate'),
        ('RunningRequest', 'preemptible'),
        ('RunningRequest', 'started'),
        ('Member', 'leaving'),
        ('TableCopy', 'body'),
        # Their own fields are checked each.
        ('Ask', 'spec'),
        ('Release', 'reading'),
    }


@pytest.mark.parametrize(('kind', 'name', 'wrong'), BOUNDED)
@hypothesis.settings(max_examples=5, derandomize=True, deadline=None)
@hypothesis.given(data=strategies.data())
def test_a_value_outside_a_bound_is_malformed(kind, name, wrong, data):
    message = data.draw(peermessages.draw_within(kind))
    message = message._replace(**{name: wrong})
    if kind in HOLDERS:
        holder, field = HOLDERS[kind]
        outer = data.draw(peermessages.draw_within(holder))
        inner = message if field in SINGLE else (message,)
        message = outer._replace(**{field: inner})
    encoded = codec.encode(message)
    if encoded.is_error():
        assert encoded.error.fault is not codec.Fault.MALFORMED
        return
    assert codec.decode(encoded.ok).error.fault is codec.Fault.MALFORMED
