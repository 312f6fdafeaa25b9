"""Figures of a simulated load: evenness, waits, messages and calls on time."""

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .load_simulation import Call, Upstream

__all__ = ["LoadFigures"]

# Upstreams start without any calls, so the first seconds are left out.
WARM_UP_S = 2.0
MIN_MEAN_LOAD = 0.02


class LoadFigures:
    """Counts of one simulation.

    The load of an upstream in a second is the mean number of its running and waiting
    calls, per slot.
    """

    def __init__(self, upstreams: "list[Upstream]") -> None:
        self._upstreams = upstreams
        self._loads: dict[str, dict[int, float]] = {u.name: {} for u in upstreams}
        self._changed_at = dict.fromkeys(self._loads, 0.0)
        self.calls = self.attempts = self.remote = 0
        self.waits = self.needless_waits = 0
        # Counts of calls and of those on time, by domain and by kind.
        self.by_domain: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        self.by_kind: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self.served = 0
        self.elapsed_s = 0.0

    def add_call(self, call: "Call") -> None:
        """Count a new call."""
        if call.started_at >= WARM_UP_S:
            self.calls += 1

    def add_attempt(self, call: "Call", is_local: bool, now: float) -> None:
        """Count an attempt of a call, which takes a message in each direction."""
        if call.started_at >= WARM_UP_S:
            self.attempts += 1
            self.remote += not is_local

    def add_wait(self, call: "Call", has_idle_peer: bool) -> None:
        """Count a call that waits for a slot."""
        if call.started_at >= WARM_UP_S:
            self.waits += 1
            self.needless_waits += has_idle_peer

    def add_end(self, call: "Call", now: float, is_served: bool) -> None:
        """Count the end of a call."""
        if call.started_at < WARM_UP_S:
            return
        on_time = is_served and now - call.started_at <= call.kind.objective_s
        self.served += is_served
        for counts in (self.by_domain[call.domain], self.by_kind[call.kind_name]):
            counts[0] += 1
            counts[1] += on_time
        if is_served:
            self.elapsed_s += now - call.started_at

    def before_change(self, upstream: "Upstream", now: float) -> None:
        """Add the load since the last change of an upstream's queue."""
        load = upstream.queue.call_count / upstream.service.slots
        since = self._changed_at[upstream.name]
        self._changed_at[upstream.name] = now
        seconds = self._loads[upstream.name]
        while since < now:
            second = int(since)
            until = min(now, second + 1.0)
            seconds[second] = seconds.get(second, 0.0) + load * (until - since)
            since = until

    def finish(self, now: float) -> None:
        """Close the last second."""
        for upstream in self._upstreams:
            self.before_change(upstream, now)

    def busiest_ratio(self, service: str, is_by_domain: bool = False) -> float:
        """Return the busiest upstream's load relative to the mean, averaged.

        The average is over the seconds; with `is_by_domain` also over the domains, and
        each upstream is compared with those of its own domain.
        """
        groups: dict[str, list[dict[int, float]]] = defaultdict(list)
        for upstream in self._upstreams:
            if upstream.service.name == service:
                group = upstream.domain if is_by_domain else ""
                groups[group].append(self._loads[upstream.name])
        ratios = []
        for loads in groups.values():
            last = max(max(seconds, default=0) for seconds in loads)
            for second in range(int(WARM_UP_S), last):
                values = [seconds.get(second, 0.0) for seconds in loads]
                mean = sum(values) / len(values)
                if mean > MIN_MEAN_LOAD:
                    ratios.append(max(values) / mean)
        return sum(ratios) / len(ratios) if ratios else 0.0

    def summary(self) -> dict[str, float]:
        """Return the figures by name; shares are of the calls that have ended."""
        ended = max(1, sum(calls for calls, _ in self.by_domain.values()))
        on_time = sum(good for _, good in self.by_domain.values())
        result = {
            "on_time": on_time / ended,
            "served": self.served / ended,
            "mean_ms": 1000 * self.elapsed_s / max(1, self.served),
            "messages": 2 * self.attempts / max(1, self.calls),
            "waits": self.waits / max(1, self.calls),
            "needless_waits": self.needless_waits / max(1, self.calls),
            "remote": self.remote / max(1, self.calls),
        }
        for service in dict.fromkeys(u.service.name for u in self._upstreams):
            result[f"ratio {service}"] = self.busiest_ratio(service)
            result[f"ratio {service} in domain"] = self.busiest_ratio(service, True)
        for domain, (calls, good) in sorted(self.by_domain.items()):
            result[f"on_time d{domain}"] = good / max(1, calls)
        for kind, (calls, good) in sorted(self.by_kind.items()):
            result[f"on_time {kind}"] = good / max(1, calls)
        return result
