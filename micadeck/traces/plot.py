"""A trace as a picture: five panels over one clock, as a PNG (by matplotlib)."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from micadeck.traces.replay import Span

_OUTCOMES = ("delivered", "full", "error", "expired", "dropped", "dial_failed", "spoilt", "unsent")


def draw(spans: list[Span], path: Path, title: str) -> None:
    """Write the picture; the spans are those of one trace, in order."""
    times = [each.at_s for each in spans]
    figure, panels = pyplot.subplots(5, 1, sharex=True, figsize=(12, 13), layout="constrained")
    requests, ends, load, parts, out = panels
    requests.plot(times, [each.arrived for each in spans], label="arrived", color="black")
    requests.plot(times, [each.refused for each in spans], label="refused", color="tab:red")
    requests.plot(times, [each.failed for each in spans], label="failed", color="tab:orange")
    requests.set_ylabel("requests in a span")
    heights = [[each.outcomes[name] for each in spans] for name in _OUTCOMES[1:]]
    ends.stackplot(times, heights, labels=_OUTCOMES[1:])
    ends.set_ylabel("attempts that did\nnot deliver")
    load.plot(times, [each.load for each in spans], label="load: own requests in flight", color="tab:blue")
    load.plot(
        times,
        [each.window if each.window is not None else float("nan") for each in spans],
        label="window (none drawn: it bounds nothing)",
        color="tab:red",
    )
    load.set_ylabel("requests")
    parts.plot(times, [each.spent for each in spans], label="spent: of its aim, by the typical answer")
    parts.plot(times, [each.late for each in spans], label="late: part of the answers")
    cores = [each.cores if each.cores is not None else float("nan") for each in spans]
    parts.plot(times, cores, label="cores busy, as servers report")
    parts.set_ylabel("part of one")
    out.step(times, [each.out for each in spans], where="post", label="ejected servers", color="black")
    reasons = sorted({text.rpartition(": ")[2] for each in spans for text in each.ejected})
    for number, reason in enumerate(reasons):
        at = [each.at_s for each in spans for text in each.ejected if text.endswith(f": {reason}")]
        out.plot(at, [-0.5 - 0.5 * number] * len(at), "|", markersize=10, label=f"ejection: {reason}")
    out.set_ylabel("servers")
    out.set_xlabel("seconds from the first event")
    for panel in panels:
        panel.grid(alpha=0.3)
        if panel.get_legend_handles_labels()[0]:
            panel.legend(loc="upper left", fontsize="small", ncols=4)
    figure.suptitle(title)
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
