"""Counters, gauges and latency histograms in the format of Prometheus."""

import time
import typing

from hdrh import histogram

from guavachute.observe import counters

MIN_US = 100
MAX_US = 60_000_000
DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """The metrics of one process.

    Names are without the prefix ``guavachute_`` and the suffixes.
    """

    def __init__(self) -> None:
        self.counters = counters.Counters()
        self._histograms: dict[str, histogram.HdrHistogram] = {}
        self._gauges: dict[str, typing.Callable[[], float]] = {}
        self._labelled: dict[
            tuple[str, str], typing.Callable[[], typing.Mapping[str, float]]
        ] = {}

    def add(self, name: str, amount: float = 1) -> None:
        """Increase the counter *name*."""
        self.counters.add(name, amount)

    def gauge(self, name: str, value: typing.Callable[[], float]) -> None:
        """Register the gauge *name*; *value* is called on each scrape."""
        self._gauges[name] = value

    def labelled_gauges(
        self,
        name: str,
        label: str,
        values: typing.Callable[[], typing.Mapping[str, float]],
    ) -> None:
        """Register the gauges *name*, one for each value of *label*.

        :param values: called on each scrape; bounds their number
        """
        self._labelled[(name, label)] = values

    def observe_s(self, name: str, duration_s: float) -> None:
        """Record a duration in the histogram *name*."""
        found = self._histograms.get(name)
        if found is None:
            found = histogram.HdrHistogram(MIN_US, MAX_US, DIGITS)
            self._histograms[name] = found
        found.record_value(min(MAX_US, max(MIN_US, int(duration_s * 1e6))))

    def text(self) -> bytes:
        """All metrics in the text format of Prometheus."""
        lines = []
        for name, value in self.counters.snapshot().items():
            lines.append(f'guavachute_{name}_total {value:g}')
        for name, read in sorted(self._gauges.items()):
            lines.append(f'guavachute_{name} {read():g}')
        for (name, label), values in sorted(
            self._labelled.items(), key=lambda item: item[0]
        ):
            for key, value in values().items():
                text = key.replace('\\', '\\\\').replace('"', '\\"')
                lines.append(
                    f'guavachute_{name}{{{label}="{text}"}} {value:g}'
                )
        for name, found in sorted(self._histograms.items()):
            metric = f'guavachute_{name}_seconds'
            for percentile in PERCENTILES:
                value_s = found.get_value_at_percentile(percentile) / 1e6
                lines.append(
                    f'{metric}{{quantile="{percentile / 100:g}"}} '
                    f'{value_s:.6f}'
                )
            lines.append(f'{metric}_count {found.get_total_count()}')
        lines.append(f'guavachute_scraped_time_seconds {time.time():.3f}')
        return '\n'.join(lines).encode() + b'\n'
