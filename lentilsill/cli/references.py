"""Checks of the references between documents."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from lentilsill.documents import ServiceDocument
from lentilsill.findings import Finding, Findings

from .line_numbers import find_line, find_value_lines

__all__ = ["DocumentFile", "check_references"]


@dataclass(frozen=True, slots=True)
class DocumentFile:
    """A valid document, with the name and the text of its file."""

    source: str
    text: str
    document: ServiceDocument


def check_references(files: Sequence[DocumentFile]) -> Findings:
    """Find references that none of the files satisfies, and duplicate documents.

    The references of a single document are not checked, because the documents
    that it refers to may already be stored on the platform.
    """
    findings = Findings()
    if len(files) < 2:
        return findings
    documents = {file.document.service: file.document for file in files}
    for file in files:
        lines = find_value_lines(file.text)
        for place, message in _find_dangling(file.document, documents):
            line = find_line(lines, place)
            findings.items.append(Finding(place, message, file.source, line))
    findings.items += _find_duplicates(files)
    return findings


def _find_dangling(
    document: ServiceDocument, documents: dict[str, ServiceDocument]
) -> Iterator[tuple[str, str]]:
    for i, route in enumerate(document.routes):
        for j, target in enumerate(route.targets):
            place = f"routes[{i}].targets[{j}]"
            other = documents.get(target.service)
            if other is None:
                yield f"{place}.service", f"no document of service {target.service!r}"
            elif target.upstream_set not in other.upstream_sets:
                yield (
                    f"{place}.upstream_set",
                    f"service {target.service!r} has no upstream set "
                    f"{target.upstream_set!r}",
                )
    for i, service in enumerate(document.requires):
        if service not in documents:
            yield f"requires[{i}]", f"no document of service {service!r}"


def _find_duplicates(files: Sequence[DocumentFile]) -> Iterator[Finding]:
    first_source: dict[str, str] = {}
    for file in files:
        service = file.document.service
        if service in first_source:
            message = f"{service!r} has a document in {first_source[service]} as well"
            line = find_line(find_value_lines(file.text), "service")
            yield Finding("service", message, file.source, line)
        first_source.setdefault(service, file.source)
