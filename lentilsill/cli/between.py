"""References between documents that are checked together."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from lentilsill.documents import ServiceDocument
from lentilsill.findings import Finding, Findings

from .lines import line_of, value_lines

__all__ = ["GivenDocument", "check_between"]


@dataclass(frozen=True, slots=True)
class GivenDocument:
    """A valid document with the text and the name of its file."""

    source: str
    text: str
    document: ServiceDocument


def check_between(given: Sequence[GivenDocument]) -> Findings:
    """Find references that no given document satisfies.

    A single document is not checked, since what it refers to may be in the
    platform already.
    """
    findings = Findings()
    if len(given) < 2:
        return findings
    documents = {item.document.service: item.document for item in given}
    for item in given:
        lines = value_lines(item.text)
        for place, message in _dangling(item.document, documents):
            line = line_of(lines, place)
            findings.items.append(Finding(place, message, item.source, line))
    findings.items += _twice(given)
    return findings


def _dangling(
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


def _twice(given: Sequence[GivenDocument]) -> Iterator[Finding]:
    first: dict[str, str] = {}
    for item in given:
        service = item.document.service
        if service in first:
            message = f"{service!r} has a document in {first[service]} as well"
            line = line_of(value_lines(item.text), "service")
            yield Finding("service", message, item.source, line)
        first.setdefault(service, item.source)
