"""Attempts that were sent to other nodes, and their results."""

import asyncio
from dataclasses import dataclass, field

from lentilsill.outcomes import CallResult, Outcome, Refused
from lentilsill.wire import Link

__all__ = ["Peer", "PeerAttempt", "Reply"]

# A link is probed when it has been silent for this multiple of the mean answer time,
# so that a call on a dead link has time left for a second attempt.
PROBE_AFTER_ANSWER_TIMES = 4.0
ANSWER_TIME_WEIGHT = 0.1
MIN_PROBE_AFTER_S = 0.05
# The link of a long call is probed each time the age of the call doubles, not at a
# fixed interval.
PROBE_AFTER_SHARE_OF_AGE = 0.5
# A call that waits in a queue takes longer than the mean. Its link is probed early
# enough that most of its time is left when a dead link is found.
PROBE_AFTER_SHARE_OF_LIMIT = 0.15


@dataclass(frozen=True, slots=True)
class Reply:
    """Result of one attempt.

    Parameters
    ----------
    load : int
        Expected time in ms that the destination node reported, or -1.
    busy_percent : int
        Calls at the upstream in percent of its slots as its node reported, or -1.
    late : asyncio.Future or None
        After the link of an idempotent call was lost: the result that the destination
        node still has for it. Whoever stops waiting for it cancels it.
    """

    result: CallResult
    load: int = -1
    busy_percent: int = -1
    late: "asyncio.Future[Reply] | None" = None


@dataclass(eq=False, slots=True)
class PeerAttempt:
    """An attempt that was sent over a link; `limit_s` was left when it was sent."""

    call_id: int
    link: Link
    idempotent: bool
    sent_at: float
    fut: asyncio.Future[Reply]
    upstream: str
    limit_s: float
    has_lost_link: bool = False
    busy_percent: int = -1

    def settle(self, result: CallResult, load: int = -1) -> None:
        if not self.fut.done():
            self.fut.set_result(Reply(result, load, self.busy_percent))

    def settle_as_lost(self) -> None:
        """Report the loss of the link; a result can still arrive at the new future."""
        late: asyncio.Future[Reply] = self.fut.get_loop().create_future()
        lost = Refused(Outcome.UNKNOWN, "link was lost", arrived=True)
        self.fut.set_result(Reply(lost, late=late))
        self.fut = late
        self.has_lost_link = True


@dataclass(slots=True)
class Peer:
    """Outstanding attempts at one address in the order of their call ids.

    `second_dial` opens a link beside a silent one. There is none before
    `no_second_dial_before`, and no further one for the same probe if it has failed.
    """

    outstanding: dict[int, PeerAttempt] = field(default_factory=dict)
    probed_link: Link | None = None
    probed_at: float = 0.0
    mean_answer_s: float = 0.0
    second_dial: asyncio.Task[Link] | None = None
    has_second_dial_failed: bool = False
    no_second_dial_before: float = 0.0

    def may_dial_second(self, now: float) -> bool:
        """Return whether a link may be dialed beside a silent one."""
        return (
            self.second_dial is None
            and not self.has_second_dial_failed
            and now >= self.no_second_dial_before
        )

    def record_answer_time(self, answer_s: float) -> None:
        """Update the moving average; the first answer time sets it."""
        if not self.mean_answer_s:
            self.mean_answer_s = answer_s
        self.mean_answer_s += ANSWER_TIME_WEIGHT * (answer_s - self.mean_answer_s)

    def probe_after_s(
        self, age_s: float, max_silence_s: float, limit_s: float
    ) -> float:
        """Return the silence after which the link of a call of this age is probed.

        `limit_s` is the time limit of the call.
        """
        max_silence_s = min(
            max_silence_s, max(MIN_PROBE_AFTER_S, PROBE_AFTER_SHARE_OF_LIMIT * limit_s)
        )
        if not self.mean_answer_s:
            return max_silence_s
        typical_s = max(
            MIN_PROBE_AFTER_S, PROBE_AFTER_ANSWER_TIMES * self.mean_answer_s
        )
        return min(max_silence_s, max(typical_s, PROBE_AFTER_SHARE_OF_AGE * age_s))
