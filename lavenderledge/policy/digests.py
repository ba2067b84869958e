"""Chained digests of a prompt's blocks, as engines publish them."""

import xxhash

BLOCK_CHARS = 64
_MAX_BLOCKS = 64


def digest_prefix(prompt: str) -> tuple[int, ...]:
    """Return a 64-bit digest for each whole block of the prompt, up to 64.

    A block is 64 characters. Each digest is seeded with the previous one and
    so covers everything up to the end of its block.
    """
    digests: list[int] = []
    seed = 0
    blocks = min(len(prompt) // BLOCK_CHARS, _MAX_BLOCKS)
    for number in range(blocks):
        start = number * BLOCK_CHARS
        block = prompt[start : start + BLOCK_CHARS]
        seed = xxhash.xxh64_intdigest(block.encode(), seed=seed)
        digests.append(seed)
    return tuple(digests)
