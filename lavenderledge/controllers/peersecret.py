"""The fleet's secret for links between instances, kept in the store."""

import typing

from lavenderledge import clock as clocks
from lavenderledge import timing
from lavenderledge.peers import keys
from lavenderledge.registry import store as stores

STORE_KEY: typing.Final = 'lavenderledge/peer-secret'

_RETRY_INTERVAL_S: typing.Final = 0.2
_RETRY_INTERVAL: typing.Final = timing.seconds(_RETRY_INTERVAL_S)
# Bits of an incarnation for the revision; the era stands above them.
_REVISION_BITS: typing.Final = 40


class Loaded(typing.NamedTuple):
    """The fleet's key pair, and an incarnation number of who loaded it.

    An instance that starts later gets a higher number, whatever its clock.
    """

    key_pair: keys.KeyPair
    incarnation: int


async def load(
    store: stores.Store, clock: clocks.Clock, *, own_secret: bytes
) -> Loaded:
    """Return the key pair in the store; write ``own_secret`` if there is none.

    Retries until the store answers.
    """
    while True:
        listing = await store.list_keys(STORE_KEY)
        if listing.is_error():
            await clock.sleep(_RETRY_INTERVAL)
            continue
        for change in listing.ok.changes:
            parsed = keys.parse_secret((change.content or b'').decode())
            if parsed.is_ok():
                return Loaded(parsed.ok, _compute_incarnation(listing.ok))
        await store.create(STORE_KEY, own_secret)


def _compute_incarnation(listing: stores.Listing) -> int:
    return (listing.era << _REVISION_BITS) + listing.revision
