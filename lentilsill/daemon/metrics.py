"""Metrics of a process, in the text form that the admin address serves."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["Metrics"]

PREFIX = "lentilsill_"
# Durations reach from local calls to the longest deadlines.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)


class Metrics:
    """Counters, gauges and histograms by the names that the code counts with.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("calls.served", 2)
    >>> "lentilsill_calls_served_total 2.0" in metrics.text().decode()
    True
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(_metric(name), name, registry=self.registry)
            self._counters[name] = counter
        counter.inc(value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(_metric(name), name, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(value)

    def timing(self, name: str, value_ms: float) -> None:
        """Take a duration in ms into its histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                _metric(name) + "_ms", name, buckets=BUCKETS_MS, registry=self.registry
            )
            self._histograms[name] = histogram
        histogram.observe(value_ms)

    def text(self) -> bytes:
        """Give all metrics in the text form of Prometheus."""
        return generate_latest(self.registry)


def _metric(name: str) -> str:
    return PREFIX + name.replace(".", "_").replace("-", "_")
