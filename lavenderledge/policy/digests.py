"""Digests of a prompt's successive blocks, as engines publish them."""

import xxhash

BLOCK_CHARS = 64
_BLOCKS_MOST = 64


def digest_prefix(prompt: str) -> tuple[int, ...]:
    """Return a 64-bit digest for each whole block of the prompt's start.

    A block is 64 characters; each digest is seeded with the one before it
    and so covers everything up to its block. Prompts over 64 blocks are
    digested up to there.
    """
    digests: list[int] = []
    seed = 0
    whole = min(len(prompt) // BLOCK_CHARS, _BLOCKS_MOST)
    for number in range(whole):
        start = number * BLOCK_CHARS
        block = prompt[start : start + BLOCK_CHARS]
        seed = xxhash.xxh64_intdigest(block.encode(), seed=seed)
        digests.append(seed)
    return tuple(digests)
