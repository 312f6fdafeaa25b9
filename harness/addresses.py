"""Addresses on loopback that a run uses alone."""

import random
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from .layout import PLATFORM_PORT

__all__ = ["reserved_second_octet"]

# Range of the second octets of runs; the end is exclusive.
SECOND_OCTET_START, SECOND_OCTET_END = 60, 250


def _is_free(second_octet: int) -> bool:
    """Return whether no platform stand-in left over from a killed run listens."""
    with socket.socket() as sock:
        try:
            sock.bind((f"127.{second_octet}.0.1", PLATFORM_PORT))
        except OSError:
            return False
    return True


@contextmanager
def reserved_second_octet() -> Iterator[int]:
    """Reserve a second octet of addresses that no other run on this machine uses."""
    for second_octet in random.sample(
        range(SECOND_OCTET_START, SECOND_OCTET_END),
        SECOND_OCTET_END - SECOND_OCTET_START,
    ):
        with socket.socket() as sock:
            try:
                # Listening on 127.x.0.2 reserves the octet x for this run; the
                # platform stand-in listens on 127.x.0.1.
                sock.bind((f"127.{second_octet}.0.2", PLATFORM_PORT))
                sock.listen()
            except OSError:
                continue
            if not _is_free(second_octet):
                continue
            yield second_octet
            return
    raise RuntimeError("no free addresses on loopback")
