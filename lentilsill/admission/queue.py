"""Bounded queue before the slots of one upstream."""

from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass

__all__ = ["AdmissionQueue", "Refuse", "Start"]

# Weight of the newest service time in the moving average.
SERVICE_TIME_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class Start:
    """The call runs now."""

    call: Hashable


@dataclass(frozen=True, slots=True)
class Refuse:
    """The call is refused; it was not run."""

    call: Hashable
    reason: str


Action = Start | Refuse


class AdmissionQueue:
    """Decides which calls run on an upstream, wait for it, or are refused.

    Each event gives the actions to take. Times are in seconds of one clock
    that never steps. `may_start` is given a call and those that run, and can
    hold the call back; it is asked again after each finished call. Calls behind
    one that is held back wait too.

    Examples
    --------
    >>> queue = AdmissionQueue(slots=1, queue_limit=1)
    >>> queue.offer("a", now=0.0, deadline=1.0)
    [Start(call='a')]
    >>> queue.offer("b", now=0.0, deadline=1.0)
    []
    >>> queue.offer("c", now=0.0, deadline=1.0)
    [Refuse(call='c', reason='queue of the upstream is full')]
    >>> queue.finished("a", now=0.1)
    [Start(call='b')]
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        may_start: Callable[[Hashable, Collection[Hashable]], bool] | None = None,
    ) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.draining = False
        self.service_time_s = 0.0
        self._may_start = may_start
        self._running: dict[Hashable, float] = {}
        self._waiting: dict[Hashable, float] = {}

    @property
    def work(self) -> int:
        """Calls that run or wait."""
        return len(self._running) + len(self._waiting)

    def offer(self, call: Hashable, now: float, deadline: float) -> list[Action]:
        """Take a new call; no action means that it waits."""
        if self.draining:
            return [Refuse(call, "upstream is leaving")]
        if deadline <= now:
            return [Refuse(call, "deadline passed")]
        if (
            len(self._running) < self.slots
            and not self._waiting
            and self._startable(call)
        ):
            self._running[call] = now
            return [Start(call)]
        if len(self._waiting) >= self.queue_limit:
            return [Refuse(call, "queue of the upstream is full")]
        if now + self.expected_wait_s() > deadline:
            return [Refuse(call, "expected wait exceeds the deadline")]
        self._waiting[call] = deadline
        return self._advance(now)

    def expected_wait_s(self) -> float:
        """Expected wait of a call that joins the queue now."""
        if len(self._running) < self.slots:
            return 0.0
        return self.service_time_s * (len(self._waiting) + 1) / max(1, self.slots)

    def finished(self, call: Hashable, now: float) -> list[Action]:
        """A running call has ended."""
        started = self._running.pop(call, None)
        if started is not None:
            taken = now - started
            if not self.service_time_s:
                self.service_time_s = taken
            self.service_time_s += SERVICE_TIME_WEIGHT * (taken - self.service_time_s)
        return self._advance(now)

    def cancel(self, call: Hashable) -> bool:
        """Remove a waiting call; False when it does not wait."""
        return self._waiting.pop(call, None) is not None

    def set_limits(self, slots: int, queue_limit: int, now: float) -> list[Action]:
        """Change the limits."""
        self.slots = slots
        self.queue_limit = queue_limit
        return self._advance(now)

    def drain(self) -> list[Action]:
        """Refuse new and waiting calls; running ones finish."""
        self.draining = True
        actions: list[Action] = [
            Refuse(call, "upstream is leaving") for call in self._waiting
        ]
        self._waiting.clear()
        return actions

    def resume(self) -> None:
        """Take calls again after `drain`."""
        self.draining = False

    def _startable(self, call: Hashable) -> bool:
        return self._may_start is None or self._may_start(call, self._running.keys())

    def _advance(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if not self._waiting:
            return actions
        for call, deadline in list(self._waiting.items()):
            if len(self._running) >= self.slots:
                break
            if deadline <= now:
                del self._waiting[call]
                actions.append(Refuse(call, "deadline passed"))
            elif not self._startable(call):
                # Calls behind it would otherwise keep the upstream busy, and one
                # that must run alone would wait for ever.
                break
            else:
                del self._waiting[call]
                self._running[call] = now
                actions.append(Start(call))
        return actions
