"""Log lines of calls that did not simply succeed, bounded under load."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog

__all__ = ["CallLog"]

# Under overload each refusal would be a line; the counters tell their number.
LINES_PER_S = 20.0
BURST_LINES = 200.0

log = structlog.get_logger()


@dataclass
class CallLog:
    """Writes at most 20 lines a second on average and counts the others.

    The next line that is written tells in `suppressed` how many were not.
    """

    now: Callable[[], float]
    tokens: float = BURST_LINES
    suppressed: int = 0
    suppressed_total: int = 0
    _at: float = field(default=0.0)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line if there is room for it."""
        now = self.now()
        self.tokens = min(BURST_LINES, self.tokens + (now - self._at) * LINES_PER_S)
        self._at = now
        if self.tokens < 1:
            self.suppressed += 1
            self.suppressed_total += 1
            return
        self.tokens -= 1
        if self.suppressed:
            fields["suppressed"] = self.suppressed
            self.suppressed = 0
        log.info(event, **fields)
