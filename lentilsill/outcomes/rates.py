"""Rate limit of claims at the platform, shared by the whole fleet."""

__all__ = ["TokenBucket", "node_claim_rate"]


def node_claim_rate(fleet_per_s: float, domains: int, members: int) -> float:
    """Return a node's share, per second, of the rate of the whole fleet.

    Every domain gets the same share, whatever its size, and divides it among its
    live nodes. The shares add up to `fleet_per_s` when all nodes have the same
    view. A domain that does not see other domains uses more than its share.

    Examples
    --------
    >>> node_claim_rate(90.0, domains=9, members=5)
    2.0
    """
    return fleet_per_s / max(domains, 1) / max(members, 1)


class TokenBucket:
    """Limits a rate; times are in seconds of one monotonic clock.

    Examples
    --------
    >>> bucket = TokenBucket(2.0)
    >>> bucket.take_token(0.0), bucket.take_token(0.0), bucket.take_token(0.0)
    (0.0, 0.0, 0.5)
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._tokens = self.burst
        self._refilled_at_s: float | None = None

    @property
    def burst(self) -> float:
        """Maximum number of tokens: those of one second, but at least one."""
        return max(self.rate_per_s, 1.0)

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Set the rate that applies from `now_s` on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self.burst)

    def take_token(self, now_s: float) -> float:
        """Take a token and return 0, or return the time until one is available."""
        self._refill(now_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            gained = (now_s - self._refilled_at_s) * self.rate_per_s
            self._tokens = min(self._tokens + gained, self.burst)
        self._refilled_at_s = now_s
