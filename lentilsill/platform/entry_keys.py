"""Keys of the entries of a configuration that a decoder has translated before."""

import hashlib
from typing import Any

import msgspec

__all__ = ["entry_key"]

# Digests take less memory than the texts of thousands of entries. Two entries of which
# one is chosen to have the key of the other need a collision of 128 bits.
KEY_BYTES = 16


def entry_key(entry: Any) -> bytes:
    """Return a key for equal entries; it is empty for one that can't be encoded.

    Examples
    --------
    >>> entry_key({"name": "a"}) == entry_key({"name": "a"}) != entry_key({"name": "b"})
    True
    >>> entry_key("half of a pair: \\ud800")
    b''
    """
    try:
        text = msgspec.json.encode(entry)
    except ValueError:
        return b""
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
