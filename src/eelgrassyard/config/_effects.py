"""Descriptions of the effects of configuration changes.

A placeholder in a template is ``{field}`` or ``{field:format}``. The format is ``percent``,
``pool``, ``quota``, or two texts of which one is chosen, as in ``{after:may|may not}``.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

ENTITY_NAMES: Mapping[str, str] = {
    "hosts": "host",
    "upstreams": "upstream",
    "kinds": "kind of work",
    "callers": "caller",
    "teams": "team",
}

_ADDED_EFFECTS: Mapping[str, str] = {
    "hosts": "host {name} may join and serve callers",
    "upstreams": "upstream {name} gets work as soon as it answers",
    "kinds": "work of kind {name} is accepted",
    "callers": "caller {name} may submit if it has a key",
    "teams": "callers may belong to team {name}",
}
_REMOVED_EFFECTS: Mapping[str, str] = {
    "hosts": "host {name} is no longer counted among the site's hosts; drain it first",
    "upstreams": "upstream {name} gets no new work",
    "kinds": "submissions of kind {name} are refused",
    "callers": "the key of caller {name} is refused",
    "teams": "team {name} has no callers any more",
}

_CHANGE_EFFECTS: tuple[tuple[str, str], ...] = (
    (r"site", "the site is named {after}"),
    (r"failure_domains", "the failure domains are {after}"),
    (r"scope", "each pool is scheduled per {after}; queues are rebuilt from the hosts' asks"),
    (r"hosts\.(?P<name>[^.]+)\.(address|port)", "other hosts reach {name} at {after}"),
    (r"hosts\.(?P<name>[^.]+)\.callers_port", "callers reach {name} at port {after}"),
    (r"hosts\.(?P<name>[^.]+)\.weight", "{name} schedules {ratio} pools and witnesses"),
    (r"hosts\.(?P<name>[^.]+)\.\w+", "{name} is placed in {after}"),
    (r"upstreams\.(?P<name>[^.]+)\.url", "work for {name} goes to {after}"),
    (r"upstreams\.(?P<name>[^.]+)\.slots", "{name} runs up to {after} tasks at once, not {before}"),
    (
        r"upstreams\.(?P<name>[^.]+)\.connections",
        "each host keeps its connections to {name} within {after}",
    ),
    (
        r"upstreams\.(?P<name>[^.]+)\.(cores|memory_mb|accelerators)",
        "{name} holds {ratio} work at once",
    ),
    (r"upstreams\.(?P<name>[^.]+)\.\w+", "{name} belongs to {after}"),
    (
        r"kinds\.(?P<name>[^.]+)\.share",
        "{name} keeps {after:percent} of its pool in a flood, not {before:percent}",
    ),
    (r"kinds\.(?P<name>[^.]+)\.urgency", "{name} is served as {after} work"),
    (
        r"kinds\.(?P<name>[^.]+)\.deadline_s",
        "{name} is refused early if it cannot be answered in {after} s",
    ),
    (
        r"kinds\.(?P<name>[^.]+)\.idempotent",
        "a lost request of {name} {after:is sent again|is never sent again and fails}",
    ),
    (
        r"kinds\.(?P<name>[^.]+)\.typical_s",
        "until run times are learned, {name} is planned with {after} s",
    ),
    (
        r"kinds\.(?P<name>[^.]+)\.longest_s",
        "a task of {name} counts as stalled relative to {after} s",
    ),
    (r"kinds\.(?P<name>[^.]+)\.service", "{name} runs on {after:pool}"),
    (r"callers\.(?P<name>[^.]+)\.key_\w+", "{name} must use its new key; the old one is refused"),
    (
        r"callers\.(?P<name>[^.]+)\.weight",
        "{name} gets {ratio} of a kind when callers compete for it",
    ),
    (r"callers\.(?P<name>[^.]+)\.team", "{name} draws on the quota of {after}"),
    (r"callers\.(?P<name>[^.]+)\.kinds", "{name} may send {after}"),
    (
        r"callers\.(?P<name>[^.]+)\.operator",
        "{name} {after:may|may not} read the state and stop hosts",
    ),
    (r"teams\.(?P<name>[^.]+)\.starts_per_s", "{name} starts {after:quota}"),
    (r"limits\.tasks_per_job", "a job of more than {after} tasks is refused"),
    (r"limits\.body_bytes", "a submission of more than {after} bytes is refused"),
    (
        r"limits\.queued_tasks_per_flow",
        "a caller may have {after} tasks of one kind waiting, not {before}",
    ),
    (r"limits\.queued_tasks_total", "a scheduler keeps up to {after} tasks waiting, not {before}"),
    (r"limits\.witness_records", "a host keeps up to {after} records for others; memory follows"),
    (r"limits\.id_lifetime_s", "answers can be fetched and ids used for {after} s, not {before} s"),
    (
        r"limits\.lease_s",
        "a worker stops a task {after} s after its owner was last heard, not {before} s",
    ),
    (r"limits\.(remote_)?ping_interval_s", "a dead host is noticed {ratio:sooner|later}"),
    (r"limits\.suspicion_periods", "a silent host is dead after {after} periods, not {before}"),
    (r"limits\.retry_budget_ratio", "retries add at most {after:percent} to the starts"),
    (
        r"limits\.background_share",
        "the least urgent work keeps {after:percent} of a pool, not {before:percent}",
    ),
    (r"limits\.max_ejected_ratio", "at most {after:percent} of a pool is ejected"),
    (r"limits\.ask_timeout_s", "an unanswered ask is sent again after {after} s, not {before} s"),
)
_COMPILED_EFFECTS = tuple((re.compile(pattern), text) for pattern, text in _CHANGE_EFFECTS)
_PLACEHOLDER = re.compile(r"\{(\w+)(?::([^}]*))?\}")


def describe_added(table: str, name: str) -> str:
    """Describe the effect of a new entry."""
    return _ADDED_EFFECTS[table].format(name=name)


def describe_removed(table: str, name: str) -> str:
    """Describe the effect of removing an entry."""
    return _REMOVED_EFFECTS[table].format(name=name)


def describe_change(key: str, before: object, after: object) -> str:
    """Describe the effect of changing a value."""
    for pattern, text in _COMPILED_EFFECTS:
        match = pattern.fullmatch(key)
        if match is None:
            continue
        name = match.groupdict().get("name", "")
        values = {"name": name, "before": before, "after": after, "ratio": _ratio(before, after)}
        return _render_template(text, values)
    return f"{key} is {after}"


def _render_template(text: str, values: Mapping[str, object]) -> str:
    return _PLACEHOLDER.sub(lambda found: _render_field(found, values), text)


def _render_field(found: re.Match[str], values: Mapping[str, object]) -> str:
    value, form = values[found.group(1)], found.group(2)
    match form:
        case None:
            return _format_value(value)
        case "percent":
            return f"{_number(value) * 100:.4g}%"
        case "pool":
            return f"the runners of {value}" if value else "guarded workers"
        case "quota":
            return f"at most {value} tasks a second" if value else "tasks without a quota"
        case _:
            yes, _, no = form.partition("|")
            if found.group(1) == "ratio":
                return yes if _number(values["after"]) < _number(values["before"]) else no
            return yes if value else no


def _ratio(before: object, after: object) -> str:
    old, new = _number(before), _number(after)
    if not old or not new:
        return "a different amount of" if old != new else "as much"
    return f"{new / old:.3g} times as much" if new != old else "as much"


def _number(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0


def _format_value(value: object) -> str:
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value) or "everything"
    return str(value)
