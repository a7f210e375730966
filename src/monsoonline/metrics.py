"""Counters and histograms, exported through ``aioprometheus``.

The request path updates plain dictionaries under one lock that is held only briefly,
because the collectors of ``aioprometheus`` are not thread-safe and cost microseconds
per update. A scrape copies the values into an ``aioprometheus`` registry.
"""

import bisect
import threading

__all__ = ["LATENCY_BUCKETS_MS", "Metrics"]

LATENCY_BUCKETS_MS = (
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0,
)  # fmt: skip


class LatencyHistogram:
    """Histogram of one latency metric with one set of labels."""

    def __init__(self):
        self._buckets = [0] * (len(LATENCY_BUCKETS_MS) + 1)
        self._sum_ms = 0.0

    @property
    def count(self):
        """Number of observations."""
        return sum(self._buckets)

    @property
    def sum_ms(self):
        """Sum of the observations in milliseconds."""
        return self._sum_ms

    def observe(self, latency_ms):
        """Add one observation in milliseconds."""
        self._buckets[bisect.bisect_left(LATENCY_BUCKETS_MS, latency_ms)] += 1
        self._sum_ms += latency_ms

    def cumulative(self):
        """Return the cumulative counts by upper bound in milliseconds."""
        total = 0
        counts = {}
        for bound, count in zip(
            (*LATENCY_BUCKETS_MS, float("inf")), self._buckets, strict=True
        ):
            total += count
            counts[bound] = total
        return counts


class Metrics:
    """All metrics of one process."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts = {}
        self._gauges = {}
        self._latencies = {}

    def count(self, name, amount=1, **labels):
        """Increase a counter.

        :param name: metric name without the ``monsoonline_`` prefix, ending in
            ``_total``
        :param amount: increment
        :param labels: label values by name
        """
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counts[key] = self._counts.get(key, 0) + amount

    def connection_event(self, event):
        """Count one event of the connections to upstreams."""
        self.count("upstream_connection_events_total", event=event)

    def gauge(self, name, value, **labels):
        """Set a gauge."""
        with self._lock:
            self._gauges[(name, tuple(sorted(labels.items())))] = value

    def observe(self, name, latency_ms, **labels):
        """Add one latency in milliseconds to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            if key not in self._latencies:
                self._latencies[key] = LatencyHistogram()
            self._latencies[key].observe(latency_ms)

    def value(self, name, **labels):
        """Return the current value of a counter or gauge, 0 if it was never set."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            return self._counts.get(key, self._gauges.get(key, 0))

    def render(self):
        """Return the metrics in the Prometheus exposition format.

        :returns: content bytes and a mapping of HTTP headers
        """
        # Imported on the first scrape, because the library takes several MB of memory
        # that an entry without scrapes does not need.
        import aioprometheus
        from aioprometheus.renderer import render

        registry = aioprometheus.Registry()
        with self._lock:
            counts = dict(self._counts)
            gauges = dict(self._gauges)
            latencies = {
                k: (v.cumulative(), v.sum_ms) for k, v in self._latencies.items()
            }
        self._add_series(registry, aioprometheus.Counter, counts)
        self._add_series(registry, aioprometheus.Gauge, gauges)
        self._add_series(
            registry, aioprometheus.Gauge, self._histogram_series(latencies)
        )
        return render(registry, [])

    @staticmethod
    def _histogram_series(latencies):
        series = {}
        for (name, labels), (buckets, sum_ms) in latencies.items():
            for bound, total in buckets.items():
                text = "+Inf" if bound == float("inf") else f"{bound:g}"
                series[(f"{name}_bucket", (*labels, ("le", text)))] = total
            series[(f"{name}_sum", labels)] = sum_ms
            series[(f"{name}_count", labels)] = buckets[float("inf")]
        return series

    @staticmethod
    def _add_series(registry, kind, series):
        collectors = {}
        for (name, labels), value in series.items():
            if name not in collectors:
                # By default the collector is added to the library's global registry,
                # which rejects the same name at the next scrape.
                collectors[name] = kind(
                    f"monsoonline_{name}", name.replace("_", " "), registry=registry
                )
            collectors[name].set(dict(labels), value)
