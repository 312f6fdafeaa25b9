"""Limit of the rate of claims in the platform, shared by the fleet."""

__all__ = ["TokenBucket", "node_claim_rate"]


def node_claim_rate(fleet_per_s: float, domains: int, members: int) -> float:
    """Give a node's share, per second, of the rate of the whole fleet.

    Every domain gets the same share, whatever its size, and divides it by its
    live nodes. The shares add up to `fleet_per_s` when all nodes have the same
    view; a domain that takes others for absent uses more than its share.

    Examples
    --------
    >>> node_claim_rate(90.0, domains=9, members=5)
    2.0
    """
    return fleet_per_s / max(domains, 1) / max(members, 1)


class TokenBucket:
    """Limits a rate; `now_s` comes from a clock that never steps.

    Examples
    --------
    >>> bucket = TokenBucket(2.0)
    >>> bucket.wait_s(0.0), bucket.wait_s(0.0), bucket.wait_s(0.0)
    (0.0, 0.0, 0.5)
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._tokens = self.burst
        self._at_s: float | None = None

    @property
    def burst(self) -> float:
        """Tokens kept at most: those of a second, and one at least."""
        return max(self.rate_per_s, 1.0)

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate from now on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self.burst)

    def wait_s(self, now_s: float) -> float:
        """Take a token and give 0, or give the time until one is there."""
        self._refill(now_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s

    def _refill(self, now_s: float) -> None:
        if self._at_s is not None:
            gained = (now_s - self._at_s) * self.rate_per_s
            self._tokens = min(self._tokens + gained, self.burst)
        self._at_s = now_s
