"""Rate-limited log lines of calls that failed or needed more than one attempt."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog

__all__ = ["CallLog"]

# Under overload each refusal would write a line; metrics count the refusals.
LINES_PER_S = 20.0
BURST_LINES = 200.0

log = structlog.get_logger()


@dataclass
class CallLog:
    """Writes at most 20 lines per second on average and counts suppressed lines.

    The field `suppressed` of the next written line holds the number of lines that
    were suppressed before it.
    """

    now: Callable[[], float]
    tokens: float = BURST_LINES
    suppressed: int = 0
    suppressed_total: int = 0
    _refilled_at_s: float = field(default=0.0)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line unless the rate limit is reached."""
        now = self.now()
        self.tokens = min(
            BURST_LINES, self.tokens + (now - self._refilled_at_s) * LINES_PER_S
        )
        self._refilled_at_s = now
        if self.tokens < 1:
            self.suppressed += 1
            self.suppressed_total += 1
            return
        self.tokens -= 1
        if self.suppressed:
            fields["suppressed"] = self.suppressed
            self.suppressed = 0
        log.info(event, **fields)
