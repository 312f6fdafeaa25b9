"""Whether asking for a free slot still finds one."""

__all__ = ["SlotProbeRecord"]

# Weight of the newest answer in the share of asks that found a free slot.
FOUND_WEIGHT = 0.05
# Below this share a call mostly loses the time of its asks, and each costs the links
# of two nodes a message either way.
MIN_FOUND = 0.1
# Part of the calls that ask all the same, to see when slots are free again.
PROBE_SHARE = 0.1
MAX_KINDS = 256


class SlotProbeRecord:
    """Remembers, by kind of call, how often upstreams that were asked had a slot.

    It is made for the load at which all slots are taken all the time.

    Examples
    --------
    >>> record = SlotProbeRecord()
    >>> for _ in range(60):
    ...     record.add_result("read", found=False)
    >>> record.is_worthwhile("read", 0.5), record.is_worthwhile("read", 0.05)
    (False, True)
    >>> record.is_worthwhile("write", 0.5)
    True
    """

    def __init__(self) -> None:
        self._found: dict[str, float] = {}

    def add_result(self, kind: str, found: bool) -> None:
        """Take in what an upstream that was asked has told."""
        share = self._found.get(kind)
        if share is None:
            if len(self._found) >= MAX_KINDS:
                del self._found[next(iter(self._found))]
            share = 1.0
        self._found[kind] = share + FOUND_WEIGHT * (found - share)

    def is_worthwhile(self, kind: str, draw: float) -> bool:
        """Whether a call asks; `draw` is a random number below 1."""
        return self._found.get(kind, 1.0) >= MIN_FOUND or draw < PROBE_SHARE
