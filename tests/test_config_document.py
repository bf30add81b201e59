"""The configuration document: round trip, validation, compression; API keys."""

import json

import pytest
from result import Err, Ok

from eelgrassyard.config import (
    Origin,
    compress_document,
    hash_key,
    new_key,
    new_salt,
    parse_document,
    read_document,
    render_document,
    verify_key,
)
from eelgrassyard.policy import (
    CallerEntry,
    HostEntry,
    KindEntry,
    Limits,
    Scope,
    SiteConfig,
    TeamEntry,
    UpstreamEntry,
    UpstreamRole,
    Urgency,
)


def make_config() -> SiteConfig:
    return SiteConfig(
        site="bagmati",
        failure_domains=("patan", "thamel"),
        scope=Scope.FAILURE_DOMAIN,
        hosts_by_name={
            "patan-1": HostEntry(
                name="patan-1", address="127.0.0.1", port=7001, failure_domain="patan", weight=2.0
            )
        },
        upstreams_by_name={
            "r1": UpstreamEntry(
                name="r1",
                role=UpstreamRole.RUNNER,
                url="http://127.0.0.1:8001",
                failure_domain="patan",
                service="ruling",
                slots=8,
            ),
            "w1": UpstreamEntry(
                name="w1",
                role=UpstreamRole.WORKER,
                url="http://127.0.0.1:8002",
                failure_domain="thamel",
                rack="t1",
                cores=64.0,
                memory_mb=131072,
            ),
        },
        kinds_by_name={
            "rule": KindEntry(name="rule", service="ruling", urgency=Urgency.URGENT, share=0.5),
            "bind": KindEntry(name="bind", urgency=Urgency.BACKGROUND),
        },
        callers_by_name={
            "clerk": CallerEntry(
                name="clerk",
                team="land",
                key_salt="00" * 16,
                key_hash="ab" * 32,
                kinds=frozenset({"rule"}),
            )
        },
        teams_by_name={"land": TeamEntry(name="land", starts_per_s=40.0)},
        limits=Limits(lease_s=4.0),
    )


def render(config: SiteConfig) -> bytes:
    return render_document(config, author="test", change_id="0" * 32)


def test_round_trip_preserves_every_value():
    """Guards against a field that rendering or parsing loses or changes."""
    config = make_config()
    origins = {"kinds.rule.share": Origin(answer="$.kinds[0].share", line=3, rule="scaled")}
    document = render_document(config, author="anna", origins_by_key=origins)
    match read_document(document):
        case Ok(read):
            assert read.config == config
            assert read.author == "anna"
            assert read.origins_by_key == origins
        case Err(error):
            pytest.fail(str(error))


def test_rendering_is_stable_and_change_ids_differ():
    """Guards against renderings of the same configuration that differ."""
    config = make_config()
    assert render(config) == render(config)
    first = json.loads(render_document(config, author="a"))["change_id"]
    assert first != json.loads(render_document(config, author="a"))["change_id"]


CHANGES = [
    (("config", "surprise"), 1, "config.surprise"),
    (("config", "hosts", "patan-1", "port"), 0, "config.hosts.patan-1.port"),
    (("config", "hosts", "patan-1", "port"), "7001", "config.hosts.patan-1.port"),
    (("config", "hosts", "patan-1", "address"), "localhost", "config.hosts.patan-1.address"),
    (("config", "hosts", "patan-1", "failure_domain"), "x", "config.hosts.patan-1.failure_domain"),
    (("config", "upstreams", "r1", "slots"), 0, "config.upstreams.r1"),
    (("config", "upstreams", "r1", "url"), "http://runner:80", "config.upstreams.r1.url"),
    (("config", "upstreams", "r1", "url"), "http://127.0.0.1:99999", "config.upstreams.r1.url"),
    (("config", "kinds", "rule", "share"), 1.5, "config.kinds.rule.share"),
    (("config", "kinds", "rule", "service"), "none", "config.kinds.rule.service"),
    (("config", "kinds", "rule", "urgency"), "soon", "config.kinds.rule.urgency"),
    (("config", "callers", "clerk", "team"), "ghost", "config.callers.clerk.team"),
    (("config", "callers", "clerk", "key_hash"), "AB" * 32, "config.callers.clerk.key_hash"),
    (("config", "callers", "clerk", "kinds"), ["x"], "config.callers.clerk.kinds"),
    (("config", "limits", "lease_s"), 0, "config.limits.lease_s"),
    (("config", "limits", "lease_s"), float("nan"), "config.limits.lease_s"),
    (("format",), 2, "format"),
    (("change_id",), "", "change_id"),
]


@pytest.mark.parametrize(("path", "value", "key"), CHANGES)
def test_invalid_value_is_rejected_with_its_key(path, value, key):
    """Guards against an invalid value that reaches the core, and an error that names no key."""
    body = json.loads(render(make_config()))
    target = body
    for part in path[:-1]:
        target = target[part]
    target[path[-1]] = value
    match parse_document(json.dumps(body).encode()):
        case Ok(_):
            pytest.fail("accepted")
        case Err(error):
            assert error.key == key


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b"null",
        b"[" * 100_000,
        b'{"format":1,"format":1}',
        b" " * 1_000_001,
    ],
)
def test_malformed_document_is_rejected(document):
    """Guards against an exception for malformed bytes from the store or a peer."""
    assert isinstance(parse_document(document), Err)


def test_compressed_documents_are_read_and_damaged_ones_rejected():
    """Guards against bytes from the store or a peer that crash a host or exhaust its memory."""
    text = render(make_config())
    assert compress_document(text) == text
    compressed = compress_document(text[:-2] + b" " * 200_000 + b"}\n")
    assert len(compressed) < 10_000
    assert parse_document(compressed).unwrap() == make_config()
    bomb = compress_document(b" " * 100_000_000)
    for damaged in (compressed[:-40], compressed + b"!!", b"zlib,", b"zlib,AAAA", bomb):
        assert isinstance(parse_document(damaged), Err)


def test_key_verifies_only_with_its_salt_and_hash():
    """Guards against a verification that succeeds with another key, salt or hash."""
    key, salt = new_key(), new_salt()
    key_hash = hash_key(key, salt)
    assert verify_key(key, salt, key_hash)
    assert not verify_key(new_key(), salt, key_hash)
    assert not verify_key(key, new_salt(), key_hash)
    assert not verify_key(key, salt, key_hash[:-2])
    assert not verify_key(key, "", hash_key(key, ""))
    assert not verify_key(key, "zz", "")
    assert not verify_key("\udcff", salt, key_hash)
