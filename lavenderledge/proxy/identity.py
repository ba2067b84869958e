"""What makes two requests the same."""

import hashlib

from lavenderledge.http1 import messages

_DIGEST_BYTES = 16


def compute_digest(
    request: messages.Request, *, host: str, customer: str
) -> str:
    """Return the same text for requests that a replica can't tell apart.

    It covers method, host, target with query, customer and body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        request.method,
        host.encode(),
        request.target,
        customer.encode(),
    ):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    digest.update(request.body)
    return digest.hexdigest()
