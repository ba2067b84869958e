"""The fleets and request mixes of two users, sized for one machine."""

import typing

from lavenderledge.policy import table
from lavenderledge.standins import batch, prefixcache

ZONES: typing.Final = ('zone-a', 'zone-b', 'zone-c')
# Lengths vary uniformly by this fraction of the mean, up and down.
LENGTH_SPREAD: typing.Final = 0.5

_MAX_RUNNING = 256
_CACHE_BLOCKS = 4096


class Kind(typing.NamedTuple):
    """One kind of request; lengths are means in tokens.

    ``share`` is the kind's fraction of the fleet's work. A prompt begins with
    one of ``prefixes`` shared prefixes of ``prefix_tokens`` tokens.
    """

    name: str
    tier: int
    share: float
    prompt_tokens: int
    prefix_tokens: int
    prefixes: int
    output_tokens: int
    timeout_s: float


class Customer(typing.NamedTuple):
    """A customer and its fraction of the requests."""

    name: str
    share: float


class Engine(typing.NamedTuple):
    """A replica's speed and its cache size in blocks."""

    speed: batch.Speed
    cache_blocks: int = _CACHE_BLOCKS

    def list_flags(self) -> list[str]:
        """Return the command-line flags of the stand-in."""
        return [
            f'--token-gap-s={self.speed.token_gap_s}',
            f'--knee={self.speed.knee}',
            f'--prefill-rate={self.speed.prefill_rate}',
            f'--max-running={self.speed.max_running}',
            f'--cache-blocks={self.cache_blocks}',
            f'--block-tokens={prefixcache.BLOCK_TOKENS}',
        ]


class User(typing.NamedTuple):
    """A user: one pool of engines, its instances, kinds and customers."""

    name: str
    pool: str
    kinds: tuple[Kind, ...]
    customers: tuple[Customer, ...]
    engines: tuple[Engine, ...]
    instances: int

    def find_kind(self, name: str) -> Kind:
        """Return a kind by name; raises ``StopIteration`` if unknown."""
        return next(kind for kind in self.kinds if kind.name == name)

    def list_tiers(self) -> list[int]:
        """Return the tiers, the highest priority first."""
        return sorted({kind.tier for kind in self.kinds})

    def build_rows(self) -> tuple[table.Row, ...]:
        """Return the table rows, one for each kind."""
        return tuple(
            table.Row(
                row=f'{kind.name}s',
                customer=table.ANY,
                pool=self.pool,
                kind=kind.name,
                tier=kind.tier,
                queue=10_000,
                timeout_s=kind.timeout_s,
                output_tokens=kind.output_tokens,
                repeatable=True,
            )
            for kind in self.kinds
        )


def make_gap_bound_speed(token_gap_s: float) -> batch.Speed:
    """Return a speed that is limited only by the gap between tokens."""
    return batch.Speed(token_gap_s, 64, 1_000_000, 256)


_FAST = Engine(batch.Speed(0.02, 6, 8000, _MAX_RUNNING))
_MIDDLE = Engine(batch.Speed(0.03, 5, 5000, _MAX_RUNNING))
_SLOW = Engine(batch.Speed(0.045, 4, 3000, _MAX_RUNNING))

ABYSSINIA: typing.Final = User(
    name='abyssinia',
    pool='calculator',
    kinds=(
        Kind('plan', 1, 0.45, 700, 512, 24, 200, timeout_s=20),
        Kind('check', 2, 0.47, 160, 96, 12, 30, timeout_s=10),
        Kind('note', 3, 0.08, 24, 0, 0, 2, timeout_s=5),
    ),
    customers=(
        Customer('habesha-cycles', 0.4),
        Customer('merkato-wheels', 0.3),
        Customer('entoto-rims', 0.15),
        Customer('sheger-spokes', 0.1),
        Customer('awash-school', 0.05),
    ),
    engines=(_FAST, _MIDDLE, _SLOW) * 3,
    instances=6,
)

AKWAABA: typing.Final = User(
    name='akwaaba',
    pool='loops',
    kinds=(
        Kind('report', 1, 0.45, 600, 384, 16, 160, timeout_s=20),
        Kind('summary', 2, 0.47, 1000, 256, 24, 120, timeout_s=20),
        Kind('note', 3, 0.08, 24, 0, 0, 2, timeout_s=5),
    ),
    customers=(
        Customer('osu-installers', 0.4),
        Customer('tema-audio', 0.3),
        Customer('legon-halls', 0.15),
        Customer('kasoa-churches', 0.1),
        Customer('volta-sound', 0.05),
    ),
    engines=(_FAST, _MIDDLE, _SLOW, _MIDDLE, _FAST),
    instances=6,
)

USERS: typing.Final = {user.name: user for user in (ABYSSINIA, AKWAABA)}
