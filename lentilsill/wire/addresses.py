"""Addresses of the form ``ip:port``."""

import ipaddress

__all__ = ["AddressError", "check_address", "split_address"]

MAX_PORT = 65535


class AddressError(OSError):
    """A text is not an address that can be connected to."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    Raises
    ------
    AddressError
        The port is not a number from 0 to 65535; 0 stands for any free port.

    Examples
    --------
    >>> split_address("127.0.0.1:7100")
    ('127.0.0.1', 7100)
    >>> split_address("127.0.0.1:70000")
    Traceback (most recent call last):
    lentilsill.wire.addresses.AddressError: address '127.0.0.1:70000' has no valid port
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or int(port) > MAX_PORT:
        raise AddressError(f"address {address[:60]!r} has no valid port")
    return host, int(port)


def check_address(address: str) -> str:
    """Return `address` if it is an IPv4 address with a port from 1 to 65535.

    Raises
    ------
    ValueError
        It is not.

    Examples
    --------
    >>> check_address("127.0.0.1:7100")
    '127.0.0.1:7100'
    """
    try:
        host, port = split_address(address)
        ipaddress.IPv4Address(host)
    except (AddressError, ValueError) as exc:
        raise ValueError(f"{address[:60]!r} is not an address ip:port") from exc
    if port == 0:
        raise ValueError(f"address {address!r} has port 0")
    return address
