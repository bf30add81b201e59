"""Reads the questionnaires, documents and other files given to a command."""

from __future__ import annotations

import getpass
import sys
from pathlib import Path

import anyio
from result import Err, Ok

from ..config import (
    Document,
    Questionnaire,
    generate,
    load_questionnaire,
    read_document,
    render_document,
)
from ._errors import CommandError, ExitCode
from ._flags import STORE_VARIABLE, check_url
from ._store import StoreClient, StoredValue

MOST_INPUT_BYTES = 200_000_000
STORE_NAME = "@store"
"""Given in place of a file name, stands for the document in the store."""


def read_input(path: str) -> bytes:
    """Read a file, or stdin for ``-``."""
    try:
        if path == "-":
            return sys.stdin.buffer.read(MOST_INPUT_BYTES)
        return Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        raise CommandError(
            ExitCode.USAGE, f"cannot be read: {reason}", step="read", peer=path
        ) from error


def read_questionnaire(path: str) -> Questionnaire:
    """Read and validate a questionnaire; each invalid answer is reported on its own line."""
    match load_questionnaire(path):
        case Ok(questionnaire):
            return questionnaire
        case Err(errors):
            for error in errors[:-1]:
                print(error, file=sys.stderr)
            raise CommandError(ExitCode.USAGE, str(errors[-1]))


def generate_document(path: str, author: str) -> bytes:
    """Generate the configuration document from a questionnaire."""
    generated = generate(read_questionnaire(path))
    return render_document(
        generated.config,
        author=author,
        origins_by_key=generated.origins_by_key,
        questionnaire=generated.questionnaire,
    )


def load_document(path: str, *, store_url: str = "", key: str = "") -> tuple[bytes, Document]:
    """Read a document, or generate it if the file is a questionnaire (``.jsonc``, ``.json5``).

    :param path: file, or ``@store`` for the document in the store.
    """
    if path == STORE_NAME:
        data = anyio.run(_read_store, store_url, key)
    elif path.endswith((".jsonc", ".json5")):
        data = generate_document(path, default_author())
    else:
        data = read_input(path)
    match read_document(data):
        case Ok(document):
            return data, document
        case Err(error):
            raise CommandError(ExitCode.USAGE, str(error), step="document", peer=path)


async def _read_store(url: str, key: str) -> bytes:
    if not url:
        message = f"{STORE_NAME} needs --store or {STORE_VARIABLE}"
        raise CommandError(ExitCode.USAGE, message, step="document")
    check_url(url, "store")
    store = StoreClient(url=url.rstrip("/"))
    try:
        result = await store.read(key)
    finally:
        await store.close()
    match result:
        case Err(error):
            raise CommandError(ExitCode.UNREACHABLE, str(error))
        case Ok(None):
            raise CommandError(ExitCode.USAGE, f"there is no {key}", step="store", peer=url)
        case Ok(StoredValue() as stored):
            return stored.value
    raise AssertionError("unreachable")


def default_author() -> str:
    """Return the name of the current user, or ``unknown``."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
