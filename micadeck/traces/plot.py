"""Draws a trace as a PNG: five panels over a common time axis (matplotlib)."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from micadeck.traces.replay import Span

_OUTCOMES = ("delivered", "full", "error", "expired", "dropped", "dial_failed", "spoilt", "unsent")


def draw(spans: list[Span], path: Path, title: str) -> None:
    """Write the picture of one trace's spans, which are in order."""
    times = [span.end_s for span in spans]
    figure, panels = pyplot.subplots(5, 1, sharex=True, figsize=(12, 13), layout="constrained")
    requests, failures, load, fractions, ejected = panels
    requests.plot(times, [span.arrived for span in spans], label="arrived", color="black")
    requests.plot(times, [span.refused for span in spans], label="refused", color="tab:red")
    requests.plot(times, [span.failed for span in spans], label="failed", color="tab:orange")
    requests.set_ylabel("requests in a span")
    heights = [[span.outcomes[name] for span in spans] for name in _OUTCOMES[1:]]
    failures.stackplot(times, heights, labels=_OUTCOMES[1:])
    failures.set_ylabel("attempts that did\nnot deliver")
    load.plot(times, [span.load for span in spans], label="load: own requests in flight", color="tab:blue")
    load.plot(
        times,
        [span.concurrency_limit if span.concurrency_limit is not None else float("nan") for span in spans],
        label="window (none drawn: it bounds nothing)",
        color="tab:red",
    )
    load.set_ylabel("requests")
    fractions.plot(
        times, [span.objective_fraction for span in spans], label="spent: of its aim, by the typical answer"
    )
    fractions.plot(times, [span.late_fraction for span in spans], label="late: part of the answers")
    cores = [span.core_utilization if span.core_utilization is not None else float("nan") for span in spans]
    fractions.plot(times, cores, label="cores busy, as servers report")
    fractions.set_ylabel("part of one")
    ejected.step(
        times, [span.ejected_servers for span in spans], where="post", label="ejected servers", color="black"
    )
    reasons = sorted({text.rpartition(": ")[2] for span in spans for text in span.ejections})
    for number, reason in enumerate(reasons):
        ejection_times = [
            span.end_s for span in spans for text in span.ejections if text.endswith(f": {reason}")
        ]
        ejected.plot(
            ejection_times,
            [-0.5 - 0.5 * number] * len(ejection_times),
            "|",
            markersize=10,
            label=f"ejection: {reason}",
        )
    ejected.set_ylabel("servers")
    ejected.set_xlabel("seconds from the first event")
    for panel in panels:
        panel.grid(alpha=0.3)
        if panel.get_legend_handles_labels()[0]:
            panel.legend(loc="upper left", fontsize="small", ncols=4)
    figure.suptitle(title)
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
