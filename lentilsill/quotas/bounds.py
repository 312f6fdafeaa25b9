"""The bound on an organisation's calls, and how its excess is divided."""

from dataclasses import dataclass

from lentilsill.documents import Quota

__all__ = ["HELD_S", "QuotaBounds"]

# Granted tokens are valid for this time at most.
MAX_GRANT_S = 0.25
# Shorter ones would expire on their way; without a share of the excess, these take part
# of the excess calls.
MIN_GRANT_S = 0.05
# Tokens that are held for an organisation with few calls are valid for this time.
HELD_S = 2.0
# Parts of the excess that tokens held by nodes may use: of its share of the rate, half
# of which granted tokens take, and of the rest. Two allocators may have handed out so
# many before a window, one after the other.
HELD_SHARE_OF_RATE = 0.2
HELD_SHARE_OF_REST = 0.45


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Excess over an organisation's quota that all nodes together may cause.

    In any window of `window_s` seconds, at most
    ``(rate_per_s * window_s + burst) * (1 + excess_share) + excess_calls`` calls run.

    Examples
    --------
    >>> bounds = QuotaBounds(window_s=5.0, excess_share=0.1, excess_calls=20.0)
    >>> round(bounds.max_calls(Quota(100.0, 50.0)), 6)
    625.0
    >>> bounds.grant_s
    0.25
    """

    window_s: float = 5.0
    excess_share: float = 0.1
    excess_calls: float = 20.0

    @property
    def grant_s(self) -> float:
        """Time for which a granted token is valid.

        Tokens granted before a window may be used in it; they take at most half of the
        share of the excess.
        """
        grant_s = self.excess_share * self.window_s / 2
        return min(MAX_GRANT_S, max(MIN_GRANT_S, grant_s))

    def max_calls(self, quota: Quota) -> float:
        """Return the largest number of calls in a window."""
        allowed = quota.rate_per_s * self.window_s + quota.burst
        return allowed * (1 + self.excess_share) + self.excess_calls

    def max_held(self, rate_per_s: float, burst: float) -> float:
        """Return how many tokens one allocator may have handed out to be held."""
        of_rate = self.excess_share * rate_per_s * self.window_s
        rest = self.excess_share * burst + self.excess_calls
        return HELD_SHARE_OF_RATE * of_rate + HELD_SHARE_OF_REST * rest
