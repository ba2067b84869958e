"""Peer messages drawn within their bounds, or just outside one."""

import types
import typing

from hypothesis import strategies

from lavenderledge.peers import messages

KINDS = typing.get_args(messages.Message)


def draw_within(kind):
    """Return a strategy of a type's values within all bounds."""
    if typing.get_origin(kind) in {types.UnionType, typing.Union}:
        return strategies.one_of(*map(draw_within, typing.get_args(kind)))
    base, bounds = _split(kind)
    if hasattr(base, '_fields'):
        fields = typing.get_type_hints(base, include_extras=True)
        drawn = {name: draw_within(each) for name, each in fields.items()}
        return strategies.builds(base, **drawn)
    if typing.get_origin(base) is tuple:
        item = draw_within(typing.get_args(base)[0])
        return strategies.lists(item, max_size=3).map(tuple)
    if base is str:
        return strategies.text(max_size=bounds.max_length)
    if bounds is None:
        return strategies.from_type(base)
    draw = strategies.integers if base is int else strategies.floats
    return draw(min_value=bounds.ge, max_value=bounds.le)


def list_bounded(kind):
    """Return a type's bounded fields with values outside each bound."""
    fields = typing.get_type_hints(kind, include_extras=True)
    return [
        (name, wrong)
        for name, each in fields.items()
        for wrong in _list_outside(*_split(each))
    ]


def _list_outside(base, bounds):
    if bounds is None:
        return ()
    if base is str:
        return ('x' * (bounds.max_length + 1),)
    if base is float:
        least = () if bounds.ge < -1 else (-0.5,)
        return (float('nan'), float('inf'), float('-inf'), *least)
    if base is int:
        return [
            edge + step
            for edge, step in ((bounds.ge, -1), (bounds.le, 1))
            if edge is not None
        ]
    item = typing.get_args(base)[0]
    return ((_find_least(item),) * (bounds.max_length + 1),)


def _find_least(item):
    item, _ = _split(item)
    if item is int:
        return 0
    if item is str:
        return ''
    fields = typing.get_type_hints(item)
    return item(
        *(
            1
            if each in (int, float)
            else ()
            if typing.get_origin(each)
            else each()
            for each in fields.values()
        )
    )


def _split(kind):
    if typing.get_origin(kind) in {types.UnionType, typing.Union}:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) is typing.Annotated:
        base, bounds = typing.get_args(kind)
        return base, bounds
    return kind, None
