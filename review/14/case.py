"""A part that crashes replicas, before and after a kill of all processes."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import prompts3  # noqa: E402
import standins3  # noqa: E402

PLAN = prompts3.Plan(
    group=4,
    groups=4,
    pause_s=4.5,
    writes_first=True,
    kill_after=0 if os.environ.get('KILL') == '0' else 2,
)

standins3.run_case(lambda fleet: prompts3.play(fleet, PLAN), FOLDER)
