"""A part that crashes replicas behind 34 other parts of its prompts."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import prompts3  # noqa: E402
import standins3  # noqa: E402

PLAN = prompts3.Plan(
    group=1,
    groups=14,
    pause_s=2.0,
    parts=int(os.environ.get('PARTS', '36')),
    position=int(os.environ.get('PARTS', '36')) - 2,
)

standins3.run_case(lambda fleet: prompts3.play(fleet, PLAN), FOLDER)
