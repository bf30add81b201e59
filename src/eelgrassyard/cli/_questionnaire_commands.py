"""Commands that work on files only: questionnaire, generate, diff, explain, key."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from absl import flags

from ..config import (
    SITES,
    Document,
    diff_configs,
    explain,
    find_warnings,
    generate,
    hash_key,
    new_key,
    new_salt,
)
from ._command import Command
from ._errors import CommandError, ExitCode
from ._flags import define_json, define_store
from ._host_settings import define_host_settings, host_settings, new_id_key
from ._input import default_author, generate_document, load_document, read_questionnaire


def _new(values: Any, arguments: list[str]) -> int:
    source = SITES / f"{values['from'].value}.jsonc"
    try:
        text = source.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise CommandError(
            ExitCode.USAGE, f"cannot be read: {error}", step="new", peer=str(source)
        ) from error
    _write_new(arguments[0], text.encode())
    return ExitCode.DONE


def _write_new(path: str, data: bytes) -> None:
    """Write a file that must not exist yet, or stdout for ``-``."""
    if path == "-":
        sys.stdout.buffer.write(data)
        return
    try:
        with Path(path).open("xb") as file:
            file.write(data)
    except (OSError, ValueError) as error:
        raise CommandError(
            ExitCode.USAGE, f"cannot be written: {error}", step="write", peer=path
        ) from error


def _define_new(values: flags.FlagValues) -> None:
    sites = sorted(path.stem for path in SITES.glob("*.jsonc")) or ["bagmati"]
    flags.DEFINE_enum(
        "from", sites[0], sites, "Site whose questionnaire is copied.", flag_values=values
    )


def _check(values: Any, arguments: list[str]) -> int:
    questionnaire = read_questionnaire(arguments[0])
    for note in find_warnings(questionnaire):
        print(f"note: {note}")
    config = generate(questionnaire).config
    print(
        f"{arguments[0]}: valid; {len(config.hosts_by_name)} hosts, "
        f"{len(config.upstreams_by_name)} upstreams, {len(config.kinds_by_name)} kinds, "
        f"{len(config.callers_by_name)} callers"
    )
    return ExitCode.DONE


def _generate(values: Any, arguments: list[str]) -> int:
    if values.host:
        config = generate(read_questionnaire(arguments[0])).config
        settings = host_settings(config, values)
        if values.output == "-":
            sys.stdout.buffer.write(settings)
        else:
            _write_private(values.output, settings.decode())
        return ExitCode.DONE
    document = generate_document(arguments[0], values.author or default_author())
    if values.output == "-":
        sys.stdout.buffer.write(document)
        return ExitCode.DONE
    try:
        Path(values.output).write_bytes(document)
    except (OSError, ValueError) as error:
        raise CommandError(
            ExitCode.USAGE, f"cannot be written: {error}", step="generate", peer=values.output
        ) from error
    return ExitCode.DONE


def _define_generate(values: flags.FlagValues) -> None:
    flags.DEFINE_string("output", "-", "File to write; - is stdout.", flag_values=values)
    flags.DEFINE_string(
        "author", "", "Author recorded in the document; the user if left out.", flag_values=values
    )
    define_host_settings(values)


def _define_read(values: flags.FlagValues) -> None:
    define_json(values)
    define_store(values)


def _read(values: Any, name: str) -> Document:
    _, document = load_document(name, store_url=values.store, key=values.config_key)
    return document


def _diff(values: Any, arguments: list[str]) -> int:
    before, after = (_read(values, argument) for argument in arguments)
    changes = diff_configs(before.config, after.config, origins_by_key=after.origins_by_key)
    if values.json:
        rows = [
            {"key": c.key, "before": c.before, "after": c.after, "effect": c.effect}
            for c in changes
        ]
        print(json.dumps(rows, ensure_ascii=False))
        return ExitCode.DONE
    for change in changes:
        origin = f"\n    from {change.origin}" if change.origin else ""
        print(f"{change}{origin}")
    if not changes:
        print("no difference")
    return ExitCode.DONE


def _explain(values: Any, arguments: list[str]) -> int:
    document = _read(values, arguments[0])
    key = arguments[1] if len(arguments) > 1 else ""
    rows = explain(document.config, document.origins_by_key, key)
    if not rows:
        raise CommandError(ExitCode.USAGE, f"there is no value {key!r}", step="explain")
    if values.json:
        listed = [
            {
                "key": row.key,
                "value": json.loads(row.value),
                "answer": row.origin.answer if row.origin else "",
                "line": row.origin.line if row.origin else 0,
                "rule": row.origin.rule if row.origin else "",
            }
            for row in rows
        ]
        print(json.dumps(listed, ensure_ascii=False))
        return ExitCode.DONE
    for row in rows:
        print(row.describe(document.questionnaire))
    return ExitCode.DONE


def _key_new(values: Any, arguments: list[str]) -> int:
    if values.id_key:
        id_key = new_id_key()
        if values.output:
            _write_private(values.output, f"{id_key}\n")
        else:
            print(id_key)
        return ExitCode.DONE
    key, salt = new_key(), new_salt()
    entry = json.dumps({"salt": salt, "hash": hash_key(key, salt)})
    if values.output:
        _write_private(values.output, f"{key}\n")
    else:
        print(f"key: {key}")
    print(f'answer: "key": {entry},')
    return ExitCode.DONE


def _write_private(path: str, text: str) -> None:
    """Write a secret to a new file that only its owner can read."""
    file = Path(path)
    try:
        file.touch(mode=0o600, exist_ok=False)
        file.write_text(text, encoding="utf-8")
    except (OSError, ValueError) as error:
        raise CommandError(
            ExitCode.USAGE, f"cannot be written: {error}", step="write", peer=path
        ) from error


def _define_key(values: flags.FlagValues) -> None:
    flags.DEFINE_bool(
        "id_key",
        False,
        "Make the secret by which all hosts of a site sign ids.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "output",
        "",
        "New file for the key, readable by its owner only; printed if left out.",
        flag_values=values,
    )


COMMANDS = (
    Command(
        name="questionnaire new",
        summary="write a questionnaire to start from",
        arguments="FILE",
        counts=(1, 1),
        text="""
            Copies the questionnaire of a shipped site to a new FILE (- for stdout). Its comments
            say what each answer means; change the answers to yours.""",
        define=_define_new,
        run=_new,
    ),
    Command(
        name="questionnaire check",
        summary="check the answers of a questionnaire",
        arguments="FILE",
        counts=(1, 1),
        text="""
            Checks FILE. Every wrong, contradictory or impossible answer is refused on stderr, one
            line each: file, line, key = value, and what is allowed. Notes on answers that are
            allowed but unusual go to stdout.""",
        run=_check,
    ),
    Command(
        name="generate",
        summary="generate the configuration from a questionnaire",
        arguments="QUESTIONNAIRE",
        counts=(1, 1),
        text="""
            Generates the whole configuration document. The same answers give the same
            configuration; only the change id differs.

            With --host, writes the settings file of that host instead; it holds the site's id key,
            so a new file is readable by its owner only.""",
        define=_define_generate,
        run=_generate,
    ),
    Command(
        name="diff",
        summary="show what differs between two revisions, and its effect",
        arguments="BEFORE AFTER",
        counts=(2, 2),
        text="""
            Compares two revisions. Each is a generated document, a questionnaire (.jsonc, .json5),
            or @store for the revision in the store. A line starts with + for a new entry, - for one
            that is gone, ~ for a changed value, and says what the change means; the next line names
            the answer that the new value came from.""",
        define=_define_read,
        run=_diff,
    ),
    Command(
        name="explain",
        summary="show which answer each value came from",
        arguments="FILE [KEY]",
        counts=(1, 2),
        text="""
            Prints each value of a generated document, a questionnaire, or (@store) the revision in
            the store, with the JSON path and line of the answer that it came from and the rule
            applied. KEY is a value, such as
            kinds.rule-layout.share, or an entry or table, such as kinds or limits.""",
        define=_define_read,
        run=_explain,
    ),
    Command(
        name="key new",
        summary="make a key for a caller or operator",
        text="""
            Prints a new random key and the answer that goes into the caller's or operator's entry
            of the questionnaire. The answer holds a salted hash only; give the key to the caller
            and keep no copy. With --id_key, makes the secret that every host of a site has in its
            settings.""",
        define=_define_key,
        run=_key_new,
    ),
)
