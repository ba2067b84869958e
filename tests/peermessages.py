"""Generates values of peer messages within or just outside their bounds."""

import types
import typing

from hypothesis import strategies

from lavenderledge.peers import messages

MESSAGE_TYPES = typing.get_args(messages.Message)


def build_strategy(field_type):
    """Return a strategy for values of a type within all bounds."""
    if typing.get_origin(field_type) in {types.UnionType, typing.Union}:
        return strategies.one_of(
            *map(build_strategy, typing.get_args(field_type))
        )
    base, bounds = _split(field_type)
    if hasattr(base, '_fields'):
        fields = typing.get_type_hints(base, include_extras=True)
        drawn = {name: build_strategy(hint) for name, hint in fields.items()}
        return strategies.builds(base, **drawn)
    if typing.get_origin(base) is tuple:
        item = build_strategy(typing.get_args(base)[0])
        return strategies.lists(item, max_size=3).map(tuple)
    if base is str:
        return strategies.text(max_size=bounds.max_length)
    if bounds is None:
        return strategies.from_type(base)
    draw = strategies.integers if base is int else strategies.floats
    return draw(min_value=bounds.ge, max_value=bounds.le)


def list_out_of_bounds(message_type):
    """Return names of bounded fields, each with a value outside its bounds."""
    hints = typing.get_type_hints(message_type, include_extras=True)
    return [
        (name, value)
        for name, hint in hints.items()
        for value in _list_outside(*_split(hint))
    ]


def _list_outside(base, bounds):
    if bounds is None:
        return ()
    if base is str:
        return ('x' * (bounds.max_length + 1),)
    if base is float:
        negative = () if bounds.ge < -1 else (-0.5,)
        return (float('nan'), float('inf'), float('-inf'), *negative)
    if base is int:
        return [
            edge + step
            for edge, step in ((bounds.ge, -1), (bounds.le, 1))
            if edge is not None
        ]
    item = typing.get_args(base)[0]
    return ((_build_smallest(item),) * (bounds.max_length + 1),)


def _build_smallest(item):
    item, _ = _split(item)
    if item is int:
        return 0
    if item is str:
        return ''
    fields = typing.get_type_hints(item)
    return item(
        *(
            1
            if hint in (int, float)
            else ()
            if typing.get_origin(hint)
            else hint()
            for hint in fields.values()
        )
    )


def _split(field_type):
    if typing.get_origin(field_type) in {types.UnionType, typing.Union}:
        field_type = typing.get_args(field_type)[0]
    if typing.get_origin(field_type) is typing.Annotated:
        base, bounds = typing.get_args(field_type)
        return base, bounds
    return field_type, None
