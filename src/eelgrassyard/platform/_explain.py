"""Answers ``POST /explain``: where a caller's job would be placed now, without submitting it."""

from __future__ import annotations

import urllib.parse

import msgspec

from .._decoding import shorten
from ..dispatch._host import DispatchHost
from ..dispatch._placement_report import LedElsewhere, PlacementReport
from ..dispatch._routes import Kind, RouteTable
from ..net import HttpRequest
from ._caller_api import OUTLASTS_HOST, CallerApi, Rejection, read_job

DEFAULT_JOB_ID = "0" * 16
"""Id of a job that is named by its kind alone; the answer does not depend on it unless a job with
the id is in progress or has crashed workers."""

MAX_NAMED_KINDS = 20


class Explanation(msgspec.Struct, kw_only=True):
    """Answer to the question where a job would be placed.

    :param rejection: answer that this host gives without a leader, if it does.
    :param leader: host that decides; empty if none is known.
    :param report: the leader's decision, if this host leads.
    """

    host: str
    domain: str
    kind: str
    job: str
    leader: str = ""
    rejection: Rejection | None = None
    report: PlacementReport | None = None


class Problem(msgspec.Struct):
    """Answer to a question that cannot be answered."""

    error: str


def explain(
    request: HttpRequest, *, core: DispatchHost, caller_api: CallerApi, now: float
) -> tuple[int, Explanation | Problem]:
    """Explain where the job in a request would be placed.

    The query names its kind (``kind``), or the host and path of a caller's request; it may be left
    out if there is one kind. The body and ``X-Request-Deadline`` are as in a caller's request.

    :returns: HTTP status and answer.
    """
    if request.method != "POST":
        return 405, Problem("explain takes POST")
    query = dict(urllib.parse.parse_qsl(request.query))
    kind = _find_kind(caller_api.routes, query)
    if kind is None:
        return 404, Problem(_describe_kinds(caller_api.routes))
    job_id = query.get("id") or query.get("path", "")[len(kind.prefix) :] or DEFAULT_JOB_ID
    explanation = Explanation(
        host=core.own.name, domain=core.own.domain, kind=kind.name, job=shorten(job_id)
    )
    result = read_job(request, kind, job_id)
    if result.is_err():
        explanation.rejection = result.unwrap_err()
        return 200, explanation
    job, caller_waits_s = result.unwrap()
    if now + job.latest_end_s() > caller_api.jobs_end_by:
        explanation.rejection = Rejection(status=503, reason=OUTLASTS_HOST)
        return 200, explanation
    match core.explain(now, job, caller_waits_s=caller_waits_s):
        case PlacementReport() as report:
            explanation.leader = core.own.name
            explanation.report = report
        case LedElsewhere(leader=leader):
            explanation.leader = leader
            if not leader:
                explanation.rejection = Rejection(status=503, reason="no leader available")
    return 200, explanation


def _find_kind(routes: RouteTable, query: dict[str, str]) -> Kind | None:
    if "kind" in query:
        return next((kind for kind in routes.kinds if kind.name == query["kind"]), None)
    if "path" in query:
        return routes.find(query.get("host", ""), query["path"])
    return routes.kinds[0] if len(routes.kinds) == 1 else None


def _describe_kinds(routes: RouteTable) -> str:
    if not routes.version:
        return "no configuration yet"
    names = sorted(kind.name for kind in routes.kinds)
    more = f" and {len(names) - MAX_NAMED_KINDS} more" if len(names) > MAX_NAMED_KINDS else ""
    return f"no such kind; there are {', '.join(names[:MAX_NAMED_KINDS])}{more}"
