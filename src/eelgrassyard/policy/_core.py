"""The decision core of a host: the systems that keep its state and turn events into actions."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Sequence

from ._actions import Action, Send
from ._admission import Admission
from ._config_sync import ConfigSync
from ._events import Event, PeerReceived
from ._identity import HostIdentity
from ._membership import Membership
from ._quotas import Quotas
from ._scheduler import Scheduler
from ._submissions import Submissions
from ._system import System
from ._witness import Witness

MAX_LOCAL_ROUNDS = 64
"""Rounds of messages from this host to itself in one tick.

More rounds would mean that two systems send each other messages without end.
"""


class Core:
    """Makes all decisions of one host.

    The driver calls :meth:`tick` whenever events arrive and at :meth:`next_wake`, carries out the
    returned actions, and reports their results as events.

    :param identity: name, address and failure domain of this host.
    :param seed: seed of the random numbers used for probing order and jitter.
    """

    def __init__(self, *, identity: HostIdentity, seed: int) -> None:
        self.identity = identity
        self.membership = Membership(identity=identity, seed=seed)
        self.configsync = ConfigSync(identity=identity, membership=self.membership)
        self.membership.use_config(self.configsync)
        self.witness = Witness(identity=identity, config=self.configsync)
        self.quotas = Quotas(identity=identity, config=self.configsync, membership=self.membership)
        self.scheduler = Scheduler(
            identity=identity,
            config=self.configsync,
            membership=self.membership,
            quotas=self.quotas,
            witness=self.witness,
            seed=seed,
        )
        self.admission = Admission(config=self.configsync)
        self.submissions = Submissions(
            identity=identity,
            config=self.configsync,
            membership=self.membership,
            admission=self.admission,
        )
        self._systems_by_name: dict[str, System] = {
            "membership": self.membership,
            "config": self.configsync,
            "witness": self.witness,
            "quotas": self.quotas,
            "scheduler": self.scheduler,
            "submissions": self.submissions,
        }
        self._systems_by_type = _index_by_type(self._systems_by_name.values())
        self._last_now = 0.0

    def tick(self, now: float, inbox: Sequence[Event]) -> list[Action]:
        """Handle the events in order, run every system, and return the actions for the driver.

        :param now: seconds of the Unix epoch, advanced by a monotonic clock; a value below that of
            the last call is replaced by it.
        :param inbox: events since the last call.
        """
        now = max(now, self._last_now)
        self._last_now = now
        actions: list[Action] = []
        pending = deque(inbox)
        for _ in range(MAX_LOCAL_ROUNDS):
            out: list[Action] = []
            self._run_systems(now, pending, out)
            pending.extend(self._split_local(out, actions))
            if not pending:
                break
        return actions

    def next_wake(self, now: float) -> float:
        """Time at which :meth:`tick` must be called again even if nothing arrives."""
        return min(system.next_wake(now) for system in self._systems_by_name.values())

    def dump(self, table: str | None = None) -> dict[str, object]:
        """Return the state of all systems or of one as JSON values.

        :param table: name of the system; None for all.
        :raises KeyError: if there is no such system.
        """
        if table is not None:
            return {table: self._systems_by_name[table].dump()}
        return {name: system.dump() for name, system in self._systems_by_name.items()}

    def _run_systems(self, now: float, pending: deque[Event], out: list[Action]) -> None:
        while pending:
            event = pending.popleft()
            key = type(event.message) if isinstance(event, PeerReceived) else type(event)
            for system in self._systems_by_type[key]:
                system.handle(now, event, out)
        for system in self._systems_by_name.values():
            system.advance(now, out)

    def _split_local(self, out: Iterable[Action], actions: list[Action]) -> list[Event]:
        local: list[Event] = []
        for action in out:
            if isinstance(action, Send) and action.to == self.identity.name:
                local.append(
                    PeerReceived(
                        sender=self.identity.name,
                        incarnation=self.identity.incarnation,
                        message=action.message,
                    )
                )
            else:
                actions.append(action)
        return local


def _index_by_type(systems: Iterable[System]) -> defaultdict[type, list[System]]:
    by_type: defaultdict[type, list[System]] = defaultdict(list)
    for system in systems:
        for handled in system.HANDLES:
            by_type[handled].append(system)
    return by_type
