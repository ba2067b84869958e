"""A part of prompts that crashes replicas, in a quiet hour."""

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
    pause_s=2.5,
    sound_gap_s=float(os.environ.get('SOUND_GAP_S', '6.5')),
    writes_first=True,
)

standins3.run_case(lambda fleet: prompts3.play(fleet, PLAN), FOLDER)
