"""Digests of API keys, which stand for the keys in documents and in memory."""

import hashlib
from base64 import urlsafe_b64encode

__all__ = ["key_digest"]

# 128 bits: two of 10^5 keys collide with a probability of about 1e-29, and finding a
# key for a given digest takes 2^128 trials.
DIGEST_BYTES = 16
# Separates these digests from other uses of the same hash function.
PERSONALISATION = b"lentilsill-key"
PADDING_CHARS = 2


def key_digest(key: bytes) -> str:
    """Return the digest of an API key: BLAKE2b (RFC 7693) in 22 URL-safe characters.

    A key that is easy to guess is also easy to find from its digest.

    Examples
    --------
    >>> key_digest(b"k-1")
    'ggYgm0tJtE6bWgb3IFLOiA'
    """
    digest = hashlib.blake2b(
        key, digest_size=DIGEST_BYTES, person=PERSONALISATION
    ).digest()
    return urlsafe_b64encode(digest)[:-PADDING_CHARS].decode()
