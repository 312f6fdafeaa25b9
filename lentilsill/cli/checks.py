"""Offline checks of documents and settings."""

import re
from pathlib import Path
from typing import Any

import json5

from lentilsill.documents import ServiceDocument, parse_document
from lentilsill.findings import Finding, Findings, FindingsError
from lentilsill.settings import parse_settings

from .between import GivenDocument, check_between
from .lines import line_of, value_lines

__all__ = [
    "check_files",
    "check_text",
    "document_findings",
    "files_of",
    "read_document",
]

SUFFIXES = (".json", ".json5")

# Findings on paths of the form a.0.b are shown like a[0].b.
_INDEX = re.compile(r"\.(\d+)(?=\.|$)")
# json5 puts the line of a syntax error into its message.
_SYNTAX_ERROR = re.compile(r"<string>:(\d+) ")


def document_findings(value: Any, service: str) -> Findings:
    """Check a service document and give what is wrong with it."""
    result = parse_document(value, service, 0)
    return result.unwrap_err() if result.is_err() else Findings()


def read_document(text: str, source: str) -> tuple[str, Any, Findings]:
    """Read a document with comments; give its service, value and findings."""
    findings = Findings()
    try:
        # With a key twice, the edit that comes first would be lost unseen.
        value = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        findings.add("document", str(exc))
        return "", None, _placed(findings, text, source)
    service = value.get("service") if isinstance(value, dict) else None
    if not isinstance(service, str) or not service:
        findings.add("service", "must name the service", source)
        return "", value, findings
    found = document_findings(value, service)
    return service, value, _placed(found, text, source)


def check_text(text: str, source: str) -> Findings:
    """Check a document, or settings when the text has a ``node``."""
    try:
        value = json5.loads(text)
    except ValueError:
        value = None
    if not (isinstance(value, dict) and "node" in value):
        return read_document(text, source)[2]
    try:
        parse_settings(text)
    except FindingsError as exc:
        return _placed(exc.findings, text, source)
    return Findings()


def files_of(paths: list[Path]) -> list[Path]:
    """Replace directories by the documents and settings files in them."""
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            files += sorted(p for p in path.iterdir() if p.suffix in SUFFIXES)
        else:
            files.append(path)
    return files


def check_files(paths: list[Path]) -> Findings:
    """Check files, and the references between their documents.

    The findings of all files are collected; references are checked between the
    documents that have no findings themselves.
    """
    findings = Findings()
    given = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            findings.add("file", str(exc), str(path))
            continue
        found = check_text(text, str(path))
        findings.items += found.items
        document = None if found else _document(text)
        if document is not None:
            given.append(GivenDocument(str(path), text, document))
    findings.items += check_between(given).items
    return findings


def _document(text: str) -> ServiceDocument | None:
    value = json5.loads(text)
    if not isinstance(value, dict) or "node" in value:
        return None
    return parse_document(value, value["service"], 0).unwrap()


def _placed(findings: Findings, text: str, source: str) -> Findings:
    lines = value_lines(text)
    placed = []
    for finding in findings:
        place = _INDEX.sub(r"[\1]", finding.place)
        message = finding.message
        line = finding.line or line_of(lines, place)
        if match := _SYNTAX_ERROR.match(message):
            line, message = int(match.group(1)), message[match.end() :]
        placed.append(Finding(place, message, source, line))
    return Findings(sorted(placed, key=lambda finding: finding.line))
