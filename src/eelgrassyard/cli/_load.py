"""Load model: arrival schedule, ideal response times, and summary of the measurements."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One scheduled submission.

    :param at_s: scheduled time of sending, in seconds from the start of the run.
    :param work_s: run time of each of its tasks, in seconds at speed 1.0.
    """

    at_s: float
    work_s: float


def make_schedule(
    *,
    seed: int,
    rate_per_s: float,
    duration_s: float,
    work_s: float,
    spread: str,
    max_arrivals: int,
) -> list[Arrival]:
    """Generate Poisson arrivals with independent run times of mean ``work_s``.

    :param spread: ``fixed``, ``uniform`` (0.5 to 1.5 times the mean) or ``exponential`` (capped at
        10 times the mean).
    :param max_arrivals: number of arrivals after which the schedule ends early.
    """
    arrivals_random = random.Random(f"{seed} arrivals")
    work_random = random.Random(f"{seed} work")
    arrivals: list[Arrival] = []
    at_s = arrivals_random.expovariate(rate_per_s)
    while at_s < duration_s and len(arrivals) < max_arrivals:
        arrivals.append(Arrival(at_s=at_s, work_s=_draw_work(work_random, work_s, spread)))
        at_s += arrivals_random.expovariate(rate_per_s)
    return arrivals


def _draw_work(source: random.Random, mean_s: float, spread: str) -> float:
    match spread:
        case "uniform":
            return mean_s * source.uniform(0.5, 1.5)
        case "exponential":
            return min(source.expovariate(1 / mean_s), 10 * mean_s)
        case _:
            return mean_s


def ideal_response_times(
    arrivals: Iterable[Arrival], *, slots_by_speed: Mapping[float, int], tasks: int = 1
) -> list[float]:
    """Simulate one central queue that knows every run time and speed; return response times in s.

    Tasks are scheduled in order of arrival, each on the slot where it finishes first. A submission
    finishes with its last task.

    :raises ValueError: if there are no slots.
    """
    free_at_by_speed = {speed: [0.0] * slots for speed, slots in slots_by_speed.items() if slots}
    if not free_at_by_speed:
        raise ValueError("there must be at least one slot")
    times = []
    for arrival in arrivals:
        end_s = 0.0
        for _ in range(tasks):
            ends = [
                (max(free_at[0], arrival.at_s) + arrival.work_s / speed, -speed)
                for speed, free_at in free_at_by_speed.items()
            ]
            task_end_s, negative_speed = min(ends)
            heapq.heapreplace(free_at_by_speed[-negative_speed], task_end_s)
            end_s = max(end_s, task_end_s)
        times.append(end_s - arrival.at_s)
    return times


def parse_slots(items: Sequence[str]) -> dict[float, int]:
    """Parse slots, written as ``COUNT`` or ``COUNTxSPEED`` (``96x1.0``), into counts by speed.

    :raises ValueError: if an item is not of that form.
    """
    slots: defaultdict[float, int] = defaultdict(int)
    for item in items:
        count_text, _, speed_text = item.partition("x")
        count, speed = int(count_text), float(speed_text or 1.0)
        if count < 1 or not math.isfinite(speed) or speed <= 0:
            raise ValueError(f"{item!r}: count and speed must be above 0")
        slots[speed] += count
    return dict(slots)


def new_histogram() -> Any:
    """Create a histogram of times in microseconds, up to an hour, with 3 significant digits."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def record(histogram: Any, seconds: float) -> None:
    """Add a time to a histogram; values beyond its range are clamped."""
    histogram.record_value(min(max(LOWEST_US, round(seconds * US_PER_S)), HIGHEST_US))


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """Measurements of a load run.

    :param times: response times of complete submissions.
    :param refusal_times: response times of submissions that did not run.
    :param outcomes: number of submissions by state and reason.
    :param broken: broken promises, one line each.
    :param calls: HTTP calls for submissions, excluding those that request ids.
    :param send_lags: delays between the scheduled and the actual time of sending, caused by the
        generator itself being too slow.
    """

    times: Any = field(default_factory=new_histogram)
    refusal_times: Any = field(default_factory=new_histogram)
    send_lags: Any = field(default_factory=new_histogram)
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    calls: int = 0
    ended: int = 0

    def add(self, state: str, reason: str, seconds: float, calls: int) -> None:
        """Record a submission that ended ``seconds`` after its scheduled time."""
        self.ended += 1
        self.calls += calls
        self.outcomes[state, reason] += 1
        if state == "complete":
            record(self.times, seconds)
        elif state == "not_run":
            record(self.refusal_times, seconds)


def summarize(
    result: LoadResult, *, offered: int, duration_s: float, ideal_s: Sequence[float] = ()
) -> dict[str, Any]:
    """Summarize a run as JSON values: times in seconds, and ratios to the ideal response times."""
    summary: dict[str, Any] = {
        "offered": offered,
        "offered_per_s": round(offered / duration_s, 3),
        "ended": result.ended,
        "calls_per_submission": round(result.calls / result.ended, 4) if result.ended else 0.0,
        "outcomes": [
            {"outcome": state, "reason": reason, "count": count}
            for (state, reason), count in sorted(result.outcomes.items())
        ],
        "response_s": _describe(result.times),
        "not_run_s": _describe(result.refusal_times),
        "send_lag_s": _describe(result.send_lags),
        "broken": result.broken[:20],
    }
    if ideal_s:
        ideal = new_histogram()
        for seconds in ideal_s:
            record(ideal, seconds)
        summary["ideal_s"] = _describe(ideal)
        summary["ratio_to_ideal"] = {
            name: round(value / summary["ideal_s"][name], 4)
            for name, value in summary["response_s"].items()
            if name != "count" and summary["ideal_s"].get(name)
        }
    return summary


def _describe(histogram: Any) -> dict[str, float]:
    count = histogram.get_total_count()
    if not count:
        return {"count": 0}
    values = {"count": count, "mean": round(histogram.get_mean_value() / US_PER_S, 6)}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) / US_PER_S
        values[f"p{percentile:g}"] = round(value, 6)
    values["max"] = round(histogram.get_max_value() / US_PER_S, 6)
    return values


def format_summary(summary: Mapping[str, Any]) -> str:
    """Format a summary as text tables."""
    lines = [
        f"offered {summary['offered']} ({summary['offered_per_s']:g}/s), ended {summary['ended']}, "
        f"{summary['calls_per_submission']:g} calls a submission",
        "",
        f"{'outcome':<16}{'reason':<20}{'count':>8}",
    ]
    for row in summary["outcomes"]:
        lines.append(f"{row['outcome']:<16}{row['reason']:<20}{row['count']:>8}")
    names = ["mean", *(f"p{percentile:g}" for percentile in PERCENTILES), "max"]
    lines += ["", f"{'seconds':<16}" + "".join(f"{name:>10}" for name in names)]
    rows = (
        ("response", "response_s"),
        ("not run", "not_run_s"),
        ("send lag", "send_lag_s"),
        ("ideal", "ideal_s"),
        ("ratio", "ratio_to_ideal"),
    )
    for title, key in rows:
        figures = summary.get(key, {})
        if "mean" in figures:
            lines.append(f"{title:<16}" + "".join(f"{figures[name]:>10.4f}" for name in names))
    lines += [f"broken: {line}" for line in summary["broken"]]
    return "\n".join(lines)
