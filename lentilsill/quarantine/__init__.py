"""Detection of requests that crash their upstreams."""

from .tracker import CrashRow, CrashTracker

__all__ = ["CrashRow", "CrashTracker"]
