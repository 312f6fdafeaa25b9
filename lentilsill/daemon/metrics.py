"""Metrics of a process, in the text format that the admin address serves."""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

__all__ = ["Metrics"]

PREFIX = "lentilsill_"
# Upper bounds of histogram buckets, from local calls to the longest deadlines.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)


@dataclass(slots=True)
class _Histogram:
    """Counts by bucket, the last one without an upper bound, and the sum in ms."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0


class Metrics:
    """Counters, gauges and histograms by name.

    `prometheus_client` only formats the values, and is imported at the first
    request, as the import takes a tenth of the start time of a node.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("calls.served", 2)
    >>> "lentilsill_calls_served_total 2.0" in metrics.text().decode()
    True
    """

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, _Histogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, value_ms: float) -> None:
        """Add a duration in ms to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = _Histogram()
        histogram.counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        histogram.total_ms += value_ms

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield metric families, as `prometheus_client` requires of a collector."""
        from prometheus_client import core

        for name, value in self._counters.items():
            yield core.CounterMetricFamily(_metric_name(name), name, value=value)
        for name, gauge_value in self._gauges.items():
            yield core.GaugeMetricFamily(_metric_name(name), name, value=gauge_value)
        bounds = [*(f"{float(bound)}" for bound in BUCKETS_MS), "+Inf"]
        for name, histogram in self._histograms.items():
            buckets = zip(bounds, accumulate(histogram.counts), strict=True)
            yield core.HistogramMetricFamily(
                _metric_name(name) + "_ms",
                name,
                buckets=list(buckets),
                sum_value=histogram.total_ms,
            )


def _metric_name(name: str) -> str:
    return PREFIX + name.replace(".", "_").replace("-", "_")
