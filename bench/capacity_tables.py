"""Computes the tables of docs/CAPACITY.md from measured points."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from .capacity_series import Figures
from .capacity_sizes import LARGE, TARGET_UTILISATION, SiteSize, shipped_site_size

JOB_SIZES = (1, 20, 100, 620)
BATCHED_TASKS = 20
"""Tasks per call in the estimate of the savings from batched starts."""

Formula = Callable[["Reader", SiteSize], float]


class Reader:
    """Evaluates figures, and records which ones a formula used and whether it extrapolated them.

    :raises KeyError: from its methods, if a figure was not measured.
    """

    def __init__(self, figures: Figures) -> None:
        self._figures = figures
        self.used: dict[str, bool] = {}

    def at(self, name: str, x: float = 0.0) -> float:
        """Value of a figure at ``x``."""
        item = self._figures[name]
        extrapolated = bool(item.x) and not item.is_measured(x)
        self.used[name] = self.used.get(name, False) or extrapolated
        return item.at(x)

    def highest(self, name: str) -> float:
        """Upper end of the measured range of a figure."""
        return self._figures[name].highest

    def slope(self, name: str, count: float) -> float:
        """Growth of a figure for an increase of ``x`` by ``count``."""
        item = self._figures[name]
        self.used[name] = self.used.get(name, False) or count > item.highest
        return item.slope * count

    def sources(self) -> str:
        """Names of the used figures with their measured ranges, for the last column of a table."""
        if not self.used:
            return "sizes above"
        return "; ".join(
            self._source(name, extrapolated) for name, extrapolated in self.used.items()
        )

    def _source(self, name: str, extrapolated: bool) -> str:
        item = self._figures[name]
        if not item.x:
            return f"`{name}`"
        suffix = ", extrapolated" if extrapolated else ""
        return f"`{name}` {item.lowest:,.0f} to {item.highest:,.0f}{suffix}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of a table.

    :param bound: upper limit, for a budget.
    """

    label: str
    unit: str
    formula: Formula
    bound: float | None = None


def job_cost_ms(reader: Reader, tasks: float) -> tuple[float, float]:
    """Processor time per job in ms: at its owner, and at scheduler and witness together."""
    return reader.at("served.owner", tasks), reader.at("served.scheduler", tasks)


def hosts_needed(reader: Reader, size: SiteSize, utilisation: float = TARGET_UTILISATION) -> int:
    """Number of entry hosts with one core each that the load of a site needs."""
    ms = sum(job_cost_ms(reader, size.tasks_per_job))
    return math.ceil(size.jobs_per_s * ms / 1e3 / utilisation)


def _hosts_with_batches(reader: Reader, size: SiteSize) -> int:
    """Number of hosts if owners batched starts; all other costs are as measured."""
    batch = min(BATCHED_TASKS, size.tasks_per_job)
    saved = reader.at("wire.call", 1) - reader.at("wire.call", batch) / batch
    ms = sum(job_cost_ms(reader, size.tasks_per_job)) - saved * size.tasks_per_job
    return math.ceil(size.jobs_per_s * ms / 1e3 / TARGET_UTILISATION)


def sizes(figures: Figures) -> tuple[SiteSize, ...]:
    """The three sizes; the hosts of the largest are computed from the processor time per task."""
    needed = hosts_needed(Reader(figures), LARGE)
    return shipped_site_size("bagmati"), shipped_site_size("savannah"), replace(LARGE, hosts=needed)


def number(value: float) -> str:
    """Format a number with three significant digits."""
    if value == 0 or not math.isfinite(value):
        return f"{value:g}"
    digits = 2 - math.floor(math.log10(abs(value)))
    return f"{round(value, digits):,.{max(0, digits)}f}"


def render(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Render a table in Markdown."""
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def measured_table(figures: Figures) -> str:
    """Table of all figures: measured range, slope and command."""
    rows = []
    for name in sorted(figures, key=lambda n: (figures[n].section, n)):
        item = figures[name]
        if item.x:
            span = f"{item.lowest:,.0f} to {item.highest:,.0f} {item.x}"
            line = [number(item.points[0][1]), number(item.points[-1][1]), number(item.slope)]
        else:
            span, line = "", [number(item.points[0][1]), "", ""]
        rows.append([f"`{name}`", item.unit, span, *line, f"`{item.command}`"])
    header = ["figure", "unit", "measured over", "first", "last", "slope", "command"]
    return render(header, rows)


def size_table(figures: Figures) -> str:
    """Table of the three sizes."""
    columns = sizes(figures)
    fields: list[tuple[str, Callable[[SiteSize], float]]] = [
        ("entry hosts", lambda s: s.hosts),
        ("failure domains", lambda s: s.domains),
        ("upstreams", lambda s: s.upstreams),
        ("task starts a second", lambda s: s.starts_per_s),
        ("tasks a submission", lambda s: s.tasks_per_job),
        ("submissions a second", lambda s: s.jobs_per_s),
        ("tasks in progress", lambda s: s.running),
        ("teams", lambda s: s.teams),
        ("configuration changes a day", lambda s: s.changes_per_day),
        ("hosts restarted a day", lambda s: s.restarts_per_day),
    ]
    rows = [[label, *(number(get(size)) for size in columns)] for label, get in fields]
    return render(["", *(size.name for size in columns)], rows)


def peak_table(figures: Figures) -> str:
    """Table of the entry hosts needed at the peak, by tasks per job."""
    rows = []
    for tasks in JOB_SIZES:
        reader = Reader(figures)
        size = replace(LARGE, tasks_per_job=float(tasks))
        owner, scheduler = (ms / tasks for ms in job_cost_ms(reader, tasks))
        per_scheduler = scheduler * LARGE.starts_per_s / LARGE.domains / 1e3
        rows.append(
            [
                f"{tasks}",
                number(owner),
                number(scheduler),
                f"{hosts_needed(reader, size, 1.0):,}",
                f"{hosts_needed(reader, size):,}",
                number(per_scheduler),
                f"{_hosts_with_batches(reader, size):,}",
                reader.sources(),
            ]
        )
    header = [
        "tasks a job",
        "owner, ms a task",
        "scheduler, ms a task",
        "hosts, full cores",
        f"hosts, cores {TARGET_UTILISATION:.0%} busy",
        "cores of one scheduler a failure domain",
        f"hosts, {TARGET_UTILISATION:.0%} busy, if up to {BATCHED_TASKS} starts shared a call",
        "from",
    ]
    return render(header, rows)


def role_table(figures: Figures, rows: Sequence[Row]) -> str:
    """Table of the resource use of one role at the three sizes."""
    columns = sizes(figures)
    lines = []
    for row in rows:
        values = []
        for size in columns:
            # The sources are those of the last size, section 1.6.
            reader = Reader(figures)
            values.append(number(row.formula(reader, size)))
        lines.append([f"{row.label}, {row.unit}", *values, reader.sources()])
    return render(["", *(size.name for size in columns), "from"], lines)


def budget_table(figures: Figures, rows: Sequence[Row]) -> str:
    """Table of the budgets, with the ratio of the largest size to each budget."""
    columns = sizes(figures)
    lines = []
    for row in rows:
        assert row.bound is not None
        values = []
        for size in columns:
            reader = Reader(figures)
            values.append(row.formula(reader, size))
        factor = values[-1] / row.bound
        verdict = f"**broken, {factor:.3g} times**" if factor > 1 else f"kept, {factor:.2g} of it"
        cells = [f"{row.label}, {row.unit}", number(row.bound), *map(number, values), verdict]
        lines.append([*cells, reader.sources()])
    header = ["", "allowed", *(size.name for size in columns), "at section 1.6", "from"]
    return render(header, lines)
