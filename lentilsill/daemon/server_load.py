"""Load that an upstream states in a header of its answers."""

from dataclasses import dataclass

from .header_numbers import parse_count

__all__ = ["ServerLoad", "parse_server_load"]

# A figure outside this range says nothing about the next call.
MIN_PACE_PERCENT = 1
MAX_PACE_PERCENT = 10_000


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Figures of an upstream; one that is missing or malformed is None.

    `running` and `waiting` count calls. `pace_percent` is the time that work takes on
    the upstream's host at the moment, in percent of the usual time.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    pace_percent: int | None = None


def parse_server_load(text: str) -> ServerLoad:
    """Read the figures of the header, each one independently of the others.

    They are separated by commas, in the order of the fields of `ServerLoad`. Further
    figures are ignored.

    Examples
    --------
    >>> parse_server_load("1,0,8")
    ServerLoad(running=1, waiting=0, slots=8, pace_percent=None)
    >>> parse_server_load("1, x, 8, 250").pace_percent
    250
    """
    figures = [parse_count(field.strip()) for field in text.split(",")[:4]]
    figures += [None] * (4 - len(figures))
    running, waiting, slots, pace = figures
    if pace is not None and not MIN_PACE_PERCENT <= pace <= MAX_PACE_PERCENT:
        pace = None
    return ServerLoad(running, waiting, slots, pace)
