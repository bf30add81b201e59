"""Delivery of the actions of entry and pool: to each other, to sessions, or to the driver."""

from __future__ import annotations

from functools import partial

import msgspec

from ._actions import Action, Note, Reply, SendPeerLeader
from ._entry import AnswerCaller, SendLeader
from ._host_state import LOCAL_REQUESTER, HostAction, HostState
from ._links import SendLink
from ._messages import (
    Cancel,
    JobEnded,
    Lend,
    Submit,
)
from ._worker_pool import WorkerPool


class ActionDelivery(HostState):
    """Routes the actions of entry and pool, within the host where possible."""

    def _deliver_pool_actions(self, now: float) -> None:
        """Deliver the pool's actions: replies to the local entry or an inbound session, requests to
        other pools on an outbound one, the rest to the driver."""
        pool = self.pool
        if pool is None:
            return
        actions = pool.actions[:]
        pool.actions.clear()
        for action in actions:
            try:
                self._deliver_pool_action(now, action)
            except Exception as error:
                self._contain(now, "deliver", error, partial(self._delivery_failed, action))

    def _deliver_pool_action(self, now: float, action: Action) -> None:
        match action:
            case Reply(requester=requester, message=message) if requester == LOCAL_REQUESTER:
                if isinstance(message, JobEnded):
                    self.entry.job_ended(now, message)
            case Reply(requester=requester, message=message):
                self._send_session(requester, message)
            case SendPeerLeader(domain=domain, message=message):
                host = self._peer_host_by_domain.get(domain)
                if host is not None:
                    if isinstance(message, Lend):
                        heard = self.links.heard(host.name)
                        message = msgspec.structs.replace(message, heard=heard)
                    self._actions.append(SendLink(name=host.name, message=message))
            case _:
                self._actions.append(action)

    def _delivery_failed(self, action: Action) -> None:
        if isinstance(action, Reply) and isinstance(action.message, JobEnded):
            self.entry.fail(action.message.job_id)

    def _deliver_entry_actions(self, now: float) -> bool:
        actions = self.entry.actions[:]
        self.entry.actions.clear()
        for action in actions:
            match action:
                case SendLeader(message=message):
                    try:
                        self._send_leader(now, message)
                    except Exception as error:
                        recover = partial(self._request_failed, now, message)
                        self._contain(now, "send_leader", error, recover)
                case AnswerCaller() | Note():
                    self._actions.append(action)
        return bool(actions)

    def _request_failed(self, now: float, message: Submit | Cancel) -> None:
        """Recover from an error in the pool about a job of this host's own callers."""
        if isinstance(message, Submit) and self.pool is not None:
            self.pool.fail_job(now, LOCAL_REQUESTER, message.job.id)
        else:
            self._start_over(now)

    def _send_leader(self, now: float, message: Submit | Cancel) -> None:
        if self.pool is not None:
            forward_to_pool(self.pool, now, LOCAL_REQUESTER, message)
        elif self.leadership.leader is not None:
            self._actions.append(SendLink(name=self.leadership.leader.name, message=message))

    def take_actions(self, now: float) -> list[HostAction]:
        """Actions that the driver must carry out now, in order."""
        while self._deliver_entry_actions(now):
            self._deliver_pool_actions(now)
        self._deliver_pool_actions(now)
        while self.entry.actions:
            self._deliver_entry_actions(now)
            self._deliver_pool_actions(now)
        self._actions.extend(self.links.actions)
        self.links.actions.clear()
        actions, self._actions = self._actions, []
        return actions


def forward_to_pool(pool: WorkerPool, now: float, requester: str, message: Submit | Cancel) -> None:
    """Pass a request about a whole job to the pool.

    :param requester: session that gets the answer.
    """
    match message:
        case Submit():
            pool.submit(
                now,
                requester,
                message.job,
                waited_s=message.waited_s,
                caller_waits_s=message.caller_waits_s,
                round=message.round,
                progress=message.progress,
            )
        case Cancel():
            pool.cancel(now, requester, message.job_id)
