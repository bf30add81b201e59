"""The pages for operators and the glossary against the code."""

import re
from pathlib import Path

from eelgrassyard.cli._main import COMMANDS

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "operating.md").read_text(encoding="utf-8")
SOURCES = sorted((ROOT / "src" / "eelgrassyard").glob("[dp]*/*.py"))

COUNTED = re.compile(r"""(?:Count\(\s*metric=|\.count\(\s*|\.gauge\(\s*)f?"([^"\s]+\.[^"\s]+)\"""")
NAMED = re.compile(r"""f?"([a-z_]+\.[a-z0-9_.{}()]+)\"""")
FILLED_IN = re.compile(r"\\\{[^}]*\\\}")


def patterns(found: re.Pattern[str]) -> set[str]:
    """Metrics in the code as regular expressions; parts filled in at run time match any word."""
    return {
        FILLED_IN.sub("[a-z0-9_]+", re.escape(name))
        for path in SOURCES
        for name in found.findall(path.read_text(encoding="utf-8"))
    }


def names_on_page() -> set[str]:
    """Metrics on the page; ``.name`` continues the group of the name before it."""
    names, group = set(), ""
    for text in re.findall(r"`([a-z0-9_.*]+)`", PAGE):
        if text.startswith("."):
            names.add(group + text)
        elif "." in text:
            group = text.partition(".")[0]
            names.add(text)
    return names


def test_every_metric_is_explained():
    """Guards against a metric that is not documented for operators.

    If this fails, describe the named metrics in docs/operating.md.
    """
    on_page = names_on_page()
    missing = {
        pattern
        for pattern in patterns(COUNTED)
        if not any(re.fullmatch(pattern, name.replace("*", "x")) for name in on_page)
    }
    assert not missing


def test_every_metric_on_the_page_exists():
    """Guards against documenting a metric that the code never emits."""
    known = patterns(COUNTED) | patterns(NAMED)
    groups = {pattern.partition("\\.")[0] for pattern in patterns(COUNTED)} - {"[a-z0-9_]+"}
    unknown = {
        name
        for name in names_on_page()
        if name.partition(".")[0] in groups
        and not any(re.fullmatch(pattern, name.replace("*", "x")) for pattern in known)
    }
    assert not unknown


def test_every_command_on_the_page_exists():
    """Guards against documenting a command that no longer exists."""
    names = {command.name.split()[0] for command in COMMANDS}
    for word in re.findall(r"`eelgrassyard ([a-z]+)", PAGE):
        assert word in names, word


def test_names_in_the_glossary_exist():
    """Guards against glossary terms that refer to names no longer in the code."""
    page = (ROOT / "docs" / "glossary.md").read_text(encoding="utf-8")
    paths = sorted((ROOT / "src" / "eelgrassyard").glob("*/*.py"))
    code = "".join(f"{path.name} {path.read_text(encoding='utf-8')}" for path in paths)
    words = {word for text in re.findall(r"`([^`]+)`", page) for word in re.findall(r"\w+", text)}
    assert not {word for word in words if not re.search(rf"\b{word}\b", code)}
