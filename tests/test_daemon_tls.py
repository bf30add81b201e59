"""Tests of TLS for callers and mutual TLS between hosts; the certificates are for tests only."""

from __future__ import annotations

import pathlib
import ssl

import anyio
import httpx
import pytest

from daemonkit import ScriptedCore, headers_of, make_config, make_settings, running_host
from eelgrassyard.daemon._host import Host
from eelgrassyard.policy import HostEntry, PeerFailed, PeerReceived, QueryCalled, Send, SlotWithdraw

FOLDER = pathlib.Path(__file__).with_name("certificates")


def files(name: str) -> dict[str, str]:
    return {"certificate": str(FOLDER / f"{name}.pem"), "key": str(FOLDER / f"{name}.key")}


def peer_settings(name: str) -> dict:
    authorities = str(FOLDER / "ca.pem")
    return {
        "address": "127.0.0.1",
        "port": 0,
        "tls": {**files(name), "authorities": authorities},
    }


def send_on_query(event):
    if isinstance(event, QueryCalled):
        return [Send(to="patan-1", message=SlotWithdraw(submission_id="x", pool="p"))]
    return []


def test_callers_are_served_over_tls():
    """Guards against TLS settings that are read but not used."""

    async def run():
        http = {"address": "127.0.0.1", "port": 0, "tls": files("patan-1")}
        context = ssl.create_default_context(cafile=FOLDER / "ca.pem")
        async with running_host(ScriptedCore(), http=http) as host:
            url = f"https://127.0.0.1:{host.http_port}"
            async with httpx.AsyncClient(verify=context, trust_env=False) as client:
                answer = await client.post(f"{url}/v1/ids", headers=headers_of("clerk"))
                assert answer.status_code == 201
                with pytest.raises(httpx.TransportError):
                    await client.get(f"http://127.0.0.1:{host.http_port}/healthz")

    anyio.run(run)


# Certificate of the sender, the name it claims, and whether its messages are accepted.
CASES = [
    ("patan-2", "patan-2", True),
    ("patan-2", "patan-3", False),
    ("stranger", "patan-2", False),
    (None, "patan-2", False),
]


@pytest.mark.parametrize("certificate, name, arrives", CASES)
def test_only_senders_named_in_their_certificate_are_accepted(certificate, name, arrives):
    """Guards against senders without a trusted certificate or with the name of another host."""

    async def run():
        receiver = ScriptedCore()
        sender = ScriptedCore(script=send_on_query)
        peer = peer_settings(certificate) if certificate else {"address": "127.0.0.1", "port": 0}
        async with (
            running_host(receiver, peer=peer_settings("patan-1")) as first,
            running_host(sender, name=name, peer=peer) as second,
            httpx.AsyncClient(trust_env=False, headers=headers_of("clerk")) as client,
            anyio.create_task_group() as group,
        ):
            entry = HostEntry(
                name="patan-1", address="127.0.0.1", port=first.peer_port, failure_domain="patan"
            )
            second._addresses.update_from_config(make_config(hosts_by_name={"patan-1": entry}))
            group.start_soon(client.get, f"http://127.0.0.1:{second.http_port}/v1/submissions/id-1")
            if arrives:
                assert (await receiver.wait_for(PeerReceived))[0].sender == name
            else:
                await sender.wait_for(PeerFailed)
                assert not receiver.of_type(PeerReceived)
            group.cancel_scope.cancel()

    anyio.run(run)


def test_receiver_is_checked_by_its_name():
    """Guards against sending messages to another host that answers at the receiver's address."""

    async def run():
        receiver = ScriptedCore()
        sender = ScriptedCore(script=send_on_query)
        async with (
            running_host(receiver, peer=peer_settings("patan-2")) as first,
            running_host(sender, name="patan-3", peer=peer_settings("patan-1")) as second,
            httpx.AsyncClient(trust_env=False, headers=headers_of("clerk")) as client,
            anyio.create_task_group() as group,
        ):
            entry = HostEntry(
                name="patan-1", address="127.0.0.1", port=first.peer_port, failure_domain="patan"
            )
            second._addresses.update_from_config(make_config(hosts_by_name={"patan-1": entry}))
            group.start_soon(client.get, f"http://127.0.0.1:{second.http_port}/v1/submissions/id-1")
            await sender.wait_for(PeerFailed)
            assert not receiver.of_type(PeerReceived)
            group.cancel_scope.cancel()

    anyio.run(run)


def test_missing_certificate_is_an_error_at_start():
    """Guards against a host that starts without TLS although its settings require it."""
    with pytest.raises(OSError):
        Host(settings=make_settings(peer=peer_settings("nobody")), seed=1)
