"""Checks of documents and settings that need no platform."""

import re
from pathlib import Path
from typing import Any

import json5

from lentilsill.documents import ServiceDocument, parse_document
from lentilsill.findings import Finding, Findings, FindingsError
from lentilsill.settings import parse_settings

from .line_numbers import find_line, find_value_lines
from .references import DocumentFile, check_references

__all__ = [
    "add_locations",
    "check_document",
    "check_files",
    "check_text",
    "expand_directories",
    "read_document",
]

FILE_SUFFIXES = (".json", ".json5")

# Paths of the form a.0.b in findings are printed as a[0].b.
_DOTTED_INDEX = re.compile(r"\.(\d+)(?=\.|$)")
# json5 reports the line of a syntax error only in its message.
_SYNTAX_ERROR_PREFIX = re.compile(r"<string>:(\d+) ")


def check_document(value: Any, service: str) -> Findings:
    """Return the findings of a service document."""
    result = parse_document(value, service, 0)
    return result.unwrap_err() if result.is_err() else Findings()


def read_document(text: str, source: str) -> tuple[str, Any, Findings]:
    """Parse JSON with comments; return the service, the value and the findings."""
    findings = Findings()
    try:
        # If a key were allowed twice, its first value would be dropped silently.
        value = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        findings.add("document", str(exc))
        return "", None, add_locations(findings, text, source)
    service = value.get("service") if isinstance(value, dict) else None
    if not isinstance(service, str) or not service:
        findings.add("service", "must name the service", source)
        return "", value, findings
    document_findings = check_document(value, service)
    return service, value, add_locations(document_findings, text, source)


def check_text(text: str, source: str) -> Findings:
    """Check settings if the text has a key ``node``, otherwise a document."""
    try:
        value = json5.loads(text)
    except ValueError:
        value = None
    if not (isinstance(value, dict) and "node" in value):
        return read_document(text, source)[2]
    try:
        parse_settings(text)
    except FindingsError as exc:
        return add_locations(exc.findings, text, source)
    return Findings()


def expand_directories(paths: list[Path]) -> list[Path]:
    """Replace each directory by the .json and .json5 files in it."""
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            files += sorted(p for p in path.iterdir() if p.suffix in FILE_SUFFIXES)
        else:
            files.append(path)
    return files


def check_files(paths: list[Path]) -> Findings:
    """Check files, and the references between their documents.

    The findings of all files are collected. References are checked only between
    documents that have no findings of their own.
    """
    findings = Findings()
    document_files = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            findings.add("file", str(exc), str(path))
            continue
        file_findings = check_text(text, str(path))
        findings.items += file_findings.items
        document = None if file_findings else _parse_valid_document(text)
        if document is not None:
            document_files.append(DocumentFile(str(path), text, document))
    findings.items += check_references(document_files).items
    return findings


def _parse_valid_document(text: str) -> ServiceDocument | None:
    value = json5.loads(text)
    if not isinstance(value, dict) or "node" in value:
        return None
    return parse_document(value, value["service"], 0).unwrap()


def add_locations(findings: Findings, text: str, source: str) -> Findings:
    """Return findings with their source and lines, in the order of the lines."""
    lines = find_value_lines(text)
    located = []
    for finding in findings:
        place = _DOTTED_INDEX.sub(r"[\1]", finding.place)
        message = finding.message
        line = finding.line or find_line(lines, place)
        if match := _SYNTAX_ERROR_PREFIX.match(message):
            line, message = int(match.group(1)), message[match.end() :]
        located.append(Finding(place, message, source, line))
    return Findings(sorted(located, key=lambda finding: finding.line))
