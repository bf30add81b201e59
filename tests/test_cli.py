"""The tool as an operator sees it: help, one-line errors, exit codes."""

import json

import pytest

from eelgrassyard.cli import ExitCode, main
from eelgrassyard.cli._main import COMMANDS
from eelgrassyard.config import CONFIG_KEY, SITES, generate, hash_key, load_questionnaire
from eelgrassyard.daemon._settings import read_settings

BAGMATI = str(SITES / "bagmati.jsonc")
SAVANNAH = str(SITES / "savannah.jsonc")
NOBODY = "http://127.0.0.1:1"


@pytest.fixture(autouse=True)
def no_settings(monkeypatch):
    for name in ("EELGRASSYARD_HOSTS", "EELGRASSYARD_KEY", "EELGRASSYARD_STORE"):
        monkeypatch.delenv(name, raising=False)


@pytest.fixture
def key_file(tmp_path):
    path = tmp_path / "key"
    path.write_text("secret\n")
    return str(path)


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: command.name)
def test_help_explains_every_flag_and_exit_code(command, capsys):
    """Guards against a command that cannot be used from its help."""
    assert main([*command.name.split(), "--help"]) == ExitCode.DONE
    text = capsys.readouterr().out
    assert f"usage: eelgrassyard {command.name}" in text
    assert "Exit codes: 0 done" in text
    lines = text.splitlines()
    for number, line in enumerate(lines):
        if line.startswith("  --"):
            assert lines[number + 1].strip()


def test_the_overview_lists_every_command(capsys):
    """Guards against a command that is missing from the overview."""
    assert main(["--help"]) == ExitCode.DONE
    text = capsys.readouterr().out
    assert all(command.name in text for command in COMMANDS)
    assert main([]) == ExitCode.USAGE


WRONG_USE = [
    ["bogus"],
    ["questionnaire"],
    ["questionnaire", "check"],
    ["questionnaire", "check", "/nowhere"],
    ["questionnaire", "new", "--from=nowhere", "x"],
    ["generate", BAGMATI, "extra"],
    ["generate", "--output=/nowhere/x", BAGMATI],
    ["generate", "--host=nobody", BAGMATI],
    ["generate", "--host=patan-1", BAGMATI],
    ["diff", BAGMATI],
    ["diff", BAGMATI, "/nowhere"],
    ["explain", BAGMATI, "no.such.key"],
    ["explain", "@store"],
    ["diff", "--store=x", "@store", BAGMATI],
    ["apply", BAGMATI],
    ["apply", "--store=ftp://x", BAGMATI],
    ["apply", f"--store={NOBODY}", BAGMATI],
    ["apply", f"--store={NOBODY}", "--expect=-1", BAGMATI],
    ["submit", "/nowhere"],
    ["submit", f"--hosts={NOBODY}", "/dev/null"],
    ["submit", "--wait_s=90", "/dev/null"],
    ["status", "id"],
    ["status", "--hosts=localhost", "id"],
    ["status", f"--hosts={NOBODY}", "id"],
    ["drain", "--hosts=http://127.0.0.1:99999"],
    ["state", "--hosts=http://[::1"],
    ["diff", "--store=http://\udcff", "@store", BAGMATI],
    ["questionnaire", "check", "\0"],
    ["questionnaire", "new", "\0"],
    ["submit", f"--hosts={NOBODY}", "\0"],
    ["status", f"--hosts={NOBODY}", "--key_file=/nowhere", "id"],
    ["state", "--surprise"],
    ["load", f"--hosts={NOBODY}"],
    ["load", f"--hosts={NOBODY}", "--kind=a", "--slots=x"],
]


@pytest.mark.parametrize("arguments", WRONG_USE, ids=repr)
def test_wrong_use_is_refused_in_one_line(arguments, capsys):
    """Guards against tracebacks and a success code for wrong use."""
    assert main(arguments) == ExitCode.USAGE
    captured = capsys.readouterr()
    assert captured.err.count("\n") == 1
    assert captured.err.startswith("eelgrassyard: ")


def test_hosts_that_do_not_answer_are_unreachable(key_file, tmp_path, capsys):
    """Guards against an exit code other than 6 when no host or store is reachable."""
    work = tmp_path / "work.json"
    work.write_text('{"kind": "rule-layout", "tasks": [{"payload": 1}]}')
    flags = [f"--hosts={NOBODY}", f"--key_file={key_file}"]
    for command in (
        ["status", *flags, "id"],
        ["cancel", *flags, "id"],
        ["state", *flags],
        ["drain", *flags],
        ["submit", *flags, "--give_up_s=0", str(work)],
        ["load", *flags, "--kind=a", "--quiet", "--duration_s=1"],
        ["diff", f"--store={NOBODY}", "@store", BAGMATI],
    ):
        assert main(command) == ExitCode.UNREACHABLE, command
    capsys.readouterr()


def test_from_questionnaire_to_document(tmp_path, capsys):
    """Guards against a step of the workflow that does not accept the output of the one before."""
    questionnaire = tmp_path / "site.jsonc"
    assert main(["questionnaire", "new", "--from=savannah", str(questionnaire)]) == ExitCode.DONE
    assert main(["questionnaire", "new", str(questionnaire)]) == ExitCode.USAGE
    assert main(["questionnaire", "check", str(questionnaire)]) == ExitCode.DONE
    assert "valid; 9 hosts, 48 upstreams" in capsys.readouterr().out
    document = tmp_path / "site.json"
    arguments = ["generate", "--author=anna", f"--output={document}", str(questionnaire)]
    assert main(arguments) == ExitCode.DONE
    assert json.loads(document.read_text())["author"] == "anna"
    assert main(["diff", str(document), SAVANNAH]) == ExitCode.DONE
    assert capsys.readouterr().out == "no difference\n"
    assert main(["explain", str(document), "kinds.check-stock.share"]) == ExitCode.DONE
    line = next(
        number
        for number, text in enumerate(questionnaire.read_text().splitlines(), start=1)
        if "keeps_percent" in text and "least" not in text
    )
    assert f"{questionnaire}:{line}" in capsys.readouterr().out


def test_wrong_answers_get_a_line_each(tmp_path, capsys):
    """Guards against reporting only the first of several invalid answers."""
    questionnaire = tmp_path / "site.jsonc"
    text = (SITES / "bagmati.jsonc").read_text()
    text = text.replace('"slots": 8', '"slots": 0').replace('"typical_s": 0.25', '"typical_s": -1')
    questionnaire.write_text(text)
    assert main(["questionnaire", "check", str(questionnaire)]) == ExitCode.USAGE
    captured = capsys.readouterr()
    assert captured.err.count("\n") == 2
    assert "$.services[0].slots = 0: allowed: greater than or equal to 1" in captured.err


def test_differences_as_json(capsys):
    """Guards against a diff that a program cannot parse."""
    assert main(["diff", "--json", BAGMATI, SAVANNAH]) == ExitCode.DONE
    rows = json.loads(capsys.readouterr().out)
    assert {"key", "before", "after", "effect"} == set(rows[0])


def test_settings_of_every_host_are_accepted_by_the_daemon(tmp_path, capsys):
    """Guards against settings that disagree with the questionnaire or that no host accepts."""
    id_key = tmp_path / "id.key"
    assert main(["key", "new", "--id_key", f"--output={id_key}"]) == ExitCode.DONE
    config = generate(load_questionnaire(BAGMATI).unwrap()).config
    for host in config.hosts_by_name.values():
        path = tmp_path / f"{host.name}.json"
        arguments = [
            f"--host={host.name}",
            f"--id_key_file={id_key}",
            "--store=http://10.0.0.9:7000",
            "--host_list=http://10.0.0.9:7001",
            "--statsd=10.0.0.8:8125",
            f"--output={path}",
        ]
        assert main(["generate", *arguments, BAGMATI]) == ExitCode.DONE
        settings = read_settings(str(path)).unwrap()
        assert (settings.name, settings.weight) == (host.name, host.weight)
        assert (settings.http.port, settings.peer.port) == (host.callers_port, host.port)
        assert settings.store.key == CONFIG_KEY
        assert path.stat().st_mode & 0o077 == 0
    capsys.readouterr()


def test_new_keys(tmp_path, capsys):
    """Guards against a key whose printed hash does not match it, and a readable key file."""
    path = tmp_path / "key"
    assert main(["key", "new", f"--output={path}"]) == ExitCode.DONE
    out = capsys.readouterr().out
    key = path.read_text().strip()
    answer = json.loads(out.removeprefix('answer: "key": ').rstrip().rstrip(","))
    assert hash_key(key, answer["salt"]) == answer["hash"]
    assert key not in out
    assert path.stat().st_mode & 0o077 == 0
    assert main(["key", "new", f"--output={path}"]) == ExitCode.USAGE
