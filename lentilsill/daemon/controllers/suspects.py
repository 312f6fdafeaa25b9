"""Refusal of requests that may crash, or have crashed, their upstreams."""

from lentilsill.daemon.interfaces import CrashGuard
from lentilsill.outcomes import Refused

from .reasons import QUARANTINED, SUSPECTED, not_run_refusal

__all__ = ["refuse_suspect"]


def refuse_suspect(guard: CrashGuard | None, fingerprint: str) -> Refused | None:
    """Return the refusal of a request that must not run now, or None."""
    if guard is None:
        return None
    if guard.is_quarantined(fingerprint):
        return not_run_refusal(QUARANTINED)
    hold_s = guard.hold_s(fingerprint)
    return not_run_refusal(SUSPECTED, hold_s) if hold_s > 0 else None
