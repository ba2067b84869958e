"""The context that every command runs in."""

import argparse
import random
import typing

import aiohttp

from lavenderledge import clock as clocks
from lavenderledge import environment
from lavenderledge.cli import settings
from lavenderledge.registry import instancelist, keyvalue


class Context(typing.NamedTuple):
    """A command's arguments and settings, and the services it calls."""

    env: environment.Environment
    args: argparse.Namespace
    settings: settings.Settings
    session: aiohttp.ClientSession
    keyvalue: keyvalue.KeyValue
    instances: instancelist.InstanceList
    clock: clocks.Clock
    rng: random.Random

    @property
    def json(self) -> bool:
        """Whether to write output as JSON."""
        return getattr(self.args, 'json', False)
