"""Success rate of slot probes: attempts that run only if a slot is free."""

__all__ = ["SlotProbeRecord"]

# Weight of the newest result in the share of probes that found a free slot.
RESULT_WEIGHT = 0.05
# Below this share, probes mostly only delay a call, and each costs the link between two
# nodes a message in each direction.
MIN_FOUND_SHARE = 0.1
# Share of the calls that probe below `MIN_FOUND_SHARE`, to detect when slots are free
# again.
EXPLORATION_SHARE = 0.1
MAX_KINDS = 256


class SlotProbeRecord:
    """Tracks, by kind of call, the share of slot probes that found a free slot.

    It stops most probes at loads at which fewer than `min_found_share` of them find a
    free slot.

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

    def __init__(self, min_found_share: float = MIN_FOUND_SHARE) -> None:
        self.min_found_share = min_found_share
        self._found_shares: dict[str, float] = {}

    def add_result(self, kind: str, found: bool) -> None:
        """Record whether a probed upstream had a free slot."""
        share = self._found_shares.get(kind)
        if share is None:
            if len(self._found_shares) >= MAX_KINDS:
                del self._found_shares[next(iter(self._found_shares))]
            share = 1.0
        self._found_shares[kind] = share + RESULT_WEIGHT * (found - share)

    def is_worthwhile(self, kind: str, draw: float) -> bool:
        """Return whether a call is to probe.

        `draw` is a random number from 0 to below 1.
        """
        return (
            self._found_shares.get(kind, 1.0) >= self.min_found_share
            or draw < EXPLORATION_SHARE
        )
