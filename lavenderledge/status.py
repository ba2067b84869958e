"""Exit statuses of every program."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """What a program tells the shell when it ends."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN_OUTCOME = 5
    NOT_IN_FORCE = 6
    INTERRUPTED = 130
