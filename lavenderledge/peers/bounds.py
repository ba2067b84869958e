"""Types of message fields, with the bounds that decoding checks."""

import sys
import typing

import msgspec

MAX_CHARACTERS: typing.Final = 256

Name: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(max_length=MAX_CHARACTERS)
]
Tier: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=1, le=4)]
Count: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=0)]
Finite: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=-sys.float_info.max, le=sys.float_info.max)
]
NonNegative: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0, le=sys.float_info.max)
]
