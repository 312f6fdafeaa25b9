"""Generates the reference of the settings from the settings model.

Writes ``docs/settings.md`` and ``examples/reference-settings.json5``; with
``--check`` it only prints which of the files are out of date.
"""

import json
import sys
import types
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Literal, Union, get_args, get_origin

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from lentilsill.settings import NodeSettings

__all__ = ["example_text", "find_outdated_files", "main", "page_text", "write"]

ROOT = Path(__file__).parent.parent
PAGE = Path("docs/settings.md")
EXAMPLE = Path("examples/reference-settings.json5")

# Example values for the settings that have no default.
SAMPLE_VALUES: dict[str, Any] = {
    "node": "lahore-1",
    "domain": "lahore",
    "bind_ip": "127.20.1.1",
    "peer_address": "127.20.1.1:7001",
    "caller_address": "127.20.1.1:8001",
    "admin_address": "127.20.1.1:9001",
    "platform.url": "http://127.20.0.1:7000",
    "rollouts.exposed_share": 0.1,
    "rollouts.exposed_calls": 50.0,
    "rollouts.rollback_s": 5.0,
    "statsd.address": "127.20.1.1:8125",
}
PAGE_HEAD = """# Settings of a node

`lentilsilld --settings FILE` reads one file in JSON with comments (json5). Unknown
keys are findings, so that a misspelt key is not ignored. `lentilsilld --settings FILE
--check` and `lentilsill check FILE` check a file without starting a node. Settings are
read once, at the start.

The end of a name gives its unit: `_s` seconds, `_ms` milliseconds, `_bytes` bytes,
`_per_s` per second. `node` and `domain` are 1 to 63 lower-case letters, digits and `-`;
addresses are `a.b.c.d:port`.

[examples/reference-settings.json5](../examples/reference-settings.json5) lists every
setting with its default. This page and that file are written by
`python -m harness.reference`, and a test fails when they differ from the model.
"""


def page_text() -> str:
    """Return the text of the page that lists all settings."""
    parts = [PAGE_HEAD, *_setting_tables("", NodeSettings)]
    return "\n".join(parts)


def example_text() -> str:
    """Return a settings file with all settings; required ones have sample values."""
    head = "// Every setting of a node, those with a default at their default."
    return f"{head}\n{{\n{''.join(_example_lines('', NodeSettings, 1))}}}\n"


def write(root: Path) -> None:
    """Write both files below `root`."""
    for path, text in _file_texts():
        (root / path).write_text(text, encoding="utf-8")


def find_outdated_files(root: Path) -> list[str]:
    """List the generated files below `root` that differ from the model."""
    return [
        str(path)
        for path, text in _file_texts()
        if not (root / path).exists()
        or (root / path).read_text(encoding="utf-8") != text
    ]


def _file_texts() -> tuple[tuple[Path, str], ...]:
    return ((PAGE, page_text()), (EXAMPLE, example_text()))


def _section_model(info: FieldInfo) -> type[BaseModel] | None:
    """Return the model of a nested section; None for a plain setting."""
    for option in (info.annotation, *get_args(info.annotation)):
        if isinstance(option, type) and issubclass(option, BaseModel):
            return option
    return None


def _setting_tables(prefix: str, model: type[BaseModel]) -> Iterator[str]:
    title = f"`{prefix}`" if prefix else "Top level"
    doc = (model.__doc__ or "").strip().splitlines()[0]
    yield f"## {title}\n\n{doc}\n"
    yield "| setting | type | default | meaning |\n|---|---|---|---|"
    sections = []
    for name, info in model.model_fields.items():
        section = _section_model(info)
        if section is not None:
            sections.append((f"{prefix}{name}.", section))
            default = _section_default(info)
            text = f"section [`{prefix}{name}.`](#{_anchor(f'{prefix}{name}')})"
            yield f"| `{name}` | section | {default} | {text} |"
            continue
        default = "required" if info.is_required() else f"`{_to_json(info.default)}`"
        kind = _type_and_bounds(info)
        yield f"| `{name}` | {kind} | {default} | {info.description or ''} |"
    yield ""
    for nested, section in sections:
        yield from _setting_tables(nested, section)


def _anchor(name: str) -> str:
    return name.replace(".", "")


def _section_default(info: FieldInfo) -> str:
    if info.is_required():
        return "required"
    return "none" if info.default is None else "defaults"


def _type_and_bounds(info: FieldInfo) -> str:
    kind = _type_name(info.annotation)
    bounds = [_format_bound(rule) for rule in info.metadata]
    return ", ".join([kind, *(text for text in bounds if text)])


def _type_name(annotation: Any) -> str:
    origin, args = get_origin(annotation), get_args(annotation)
    if origin is Literal:
        return " or ".join(f"`{value}`" for value in args)
    if origin is tuple:
        return "list"
    if origin in (Union, types.UnionType):
        return _type_name(next(a for a in args if a is not type(None)))
    if hasattr(annotation, "__metadata__"):
        return _type_name(annotation.__origin__)
    names = {str: "string", int: "integer", float: "number", bool: "true or false"}
    return names[annotation]


def _format_bound(rule: Any) -> str:
    signs = (("gt", ">"), ("ge", "≥"), ("lt", "<"), ("le", "≤"))
    found = [
        f"{sign} {getattr(rule, key)}" for key, sign in signs if hasattr(rule, key)
    ]
    return ", ".join(found)


def _example_lines(prefix: str, model: type[BaseModel], depth: int) -> Iterator[str]:
    pad = "  " * depth
    for name, info in model.model_fields.items():
        section = _section_model(info)
        if section is not None:
            yield f'{pad}"{name}": {{\n'
            yield from _example_lines(f"{prefix}{name}.", section, depth + 1)
            yield f"{pad}}},\n"
            continue
        if info.description:
            yield f"{pad}// {info.description}\n"
        value = SAMPLE_VALUES[f"{prefix}{name}"] if info.is_required() else info.default
        yield f'{pad}"{name}": {_to_json(value)},\n'


def _to_json(value: Any) -> str:
    return json.dumps(list(value) if isinstance(value, tuple) else value)


def main(args: list[str]) -> int:
    """Write the files, or with ``--check`` print those that differ."""
    if "--check" not in args:
        write(ROOT)
        return 0
    names = find_outdated_files(ROOT)
    for name in names:
        print(f"{name}: differs from the settings model: python -m harness.reference")
    return 1 if names else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
