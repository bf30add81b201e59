"""Routes that jobs arrive on, and the lookup of a request's route."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of job: its route and the parameters of its jobs.

    :param host: value of the Host header, without a port.
    :param prefix: prefix of the path.
    :param priority: 0 is the most urgent.
    :param max_attempts: failed runs of a task after which the job has failed.
    :param stretch: factor on the critical path in the latency objective.
    :param target_s: constant part of the latency objective, in seconds.
    :param timeout_s: how long a caller waits that does not say so in its request.
    :param advised: whether an external service must be asked which workers may run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.1
    timeout_s: float = 1.5
    advised: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """Routes and request limits of one version of the configuration.

    :param capacity_checked_services: services whose workers refuse tasks that do not fit.
    """

    version: int = 0
    kinds: tuple[Kind, ...] = ()
    capacity_checked_services: frozenset[str] = frozenset()
    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 3.0
    idle_s: float = 15.0
    _kinds_by_host: dict[str, list[Kind]] = field(default_factory=dict, init=False, repr=False)

    def __post_init__(self) -> None:
        for kind in sorted(self.kinds, key=lambda kind: -len(kind.prefix)):
            self._kinds_by_host.setdefault(kind.host.lower(), []).append(kind)

    def find(self, host: str, path: str) -> Kind | None:
        """The kind with the longest prefix of a path, or None.

        :param host: Host header; a port is ignored.
        """
        for kind in self._kinds_by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(kind.prefix):
                return kind
        return None
