"""Exit statuses of every program."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Exit status that a program returns to the shell."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN_OUTCOME = 5
    NOT_IN_FORCE = 6
    INTERRUPTED = 130
