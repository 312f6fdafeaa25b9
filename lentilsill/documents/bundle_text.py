"""Bundle text with a line for each entry, and a reader that parses only new lines.

A bundle can have thousands of routes and organisations, of which a new version changes
a few. With a line for each route and each organisation, nodes send patches of lines
(`lentilsill.distribution.patch`) and parse only the entries that changed.
"""

import sys
from collections.abc import Iterator, Mapping
from typing import Any

from pydantic import ValidationError
from pydantic_core import to_json
from result import Ok, Result

from lentilsill.findings import Findings

from .bundle import (
    MAX_BUNDLE_BYTES,
    Bundle,
    DocumentNames,
    map_organisations,
    parse_bundle,
)
from .input_models import BundleModel, BundleRouteModel, OrganisationModel
from .model import Organisation, Route
from .organisation_lines import (
    organisation_lines,
    read_organisation_lines,
    split_off_organisations,
)
from .parse import convert_document, convert_organisation, convert_route

__all__ = ["BundleReader", "bundle_text"]

FIRST_LINE = '{"documents":['
DOCUMENT_FIRST_LINE = '{"routes":['
END_OF_LIST = "],"


def bundle_text(value: Any) -> str:
    """Return the JSON text of a bundle, with a line for each route and organisation.

    A value without the structure of a bundle is written on one line; the findings
    are reported when the text is read.

    Examples
    --------
    >>> print(bundle_text({"version": 7, "documents": [
    ...     {"service": "a", "routes": [{"name": "r"}, {"name": "s"}]}]}))
    {"documents":[
    {"routes":[
    {"name":"r"},
    {"name":"s"}
    ],"service":"a"}
    ],"version":7}
    """
    if not _has_bundle_structure(value):
        return _to_json_text(value)
    lines = [FIRST_LINE]
    documents = value["documents"]
    for number, document in enumerate(documents, start=1):
        lines.append(DOCUMENT_FIRST_LINE)
        routes = document.get("routes", [])
        lines += [_to_json_text(route) + "," for route in routes]
        if routes:
            lines[-1] = lines[-1][:-1]
        comma = "," if number < len(documents) else ""
        lines.append(_close_list(document, "routes") + comma)
    others = {name: item for name, item in value.items() if name != "organisations"}
    lines.append(_close_list(others, "documents"))
    if "organisations" in value:
        lines[-1] = lines[-1].removesuffix("}")
        lines += organisation_lines(value["organisations"])
    return "\n".join(lines)


class BundleReader:
    """Reader of successive bundles that keeps the entries of the last one by lines.

    A route or organisation whose line was in that bundle is not parsed again. The
    result equals that of `parse_bundle`, which reads texts that have findings or don't
    have a line for each entry.

    Examples
    --------
    >>> reader = BundleReader()
    >>> text = bundle_text({"version": 7, "documents": [{"service": "slots"}]})
    >>> reader.read(text, 12).unwrap().documents["slots"].version
    12
    """

    def __init__(self) -> None:
        self._routes: dict[str, Route] = {}
        self._organisations: dict[str, Organisation] = {}

    def read(self, text: str, revision: int) -> Result[Bundle, Findings]:
        """Validate the text of a bundle written at the platform's `revision`."""
        bundle = self._read_lines(text, revision)
        return parse_bundle(text, revision) if bundle is None else Ok(bundle)

    def _read_lines(self, text: str, revision: int) -> Bundle | None:
        if len(text) > MAX_BUNDLE_BYTES:
            return None
        text, part = split_off_organisations(text)
        split = _split_off_routes(text)
        if split is None:
            return None
        text_without_routes, route_lines = split
        routes: dict[str, Route] = {}
        organisations_by_line: dict[str, Organisation] = {}
        organisations: Mapping[str, Organisation] | None = None
        names = DocumentNames()
        findings = Findings()
        try:
            model = BundleModel.model_validate_json(text_without_routes)
            if len(model.documents) != len(route_lines):
                return None
            for document, lines in zip(model.documents, route_lines, strict=True):
                converted = tuple(self._read_route(line, routes) for line in lines)
                if not names.add(convert_document(document, revision, converted)):
                    return None
            if part is not None:
                lines_of_part = read_organisation_lines(part)
                if lines_of_part is None or model.organisations is not None:
                    return None
                organisations = map_organisations(
                    [
                        self._read_organisation(line, organisations_by_line)
                        for line in lines_of_part
                    ],
                    findings,
                )
        except ValidationError:
            return None
        names.check_targets(findings)
        if findings:
            return None
        self._routes = routes
        self._organisations = organisations_by_line
        return names.make_bundle(model, revision, organisations)

    def _read_route(self, line: str, routes: dict[str, Route]) -> Route:
        route = self._routes.get(line)
        if route is None:
            text = line.removesuffix(",")
            route = convert_route(BundleRouteModel.model_validate_json(text))
        # The texts that are kept as bases of patches share the interned lines.
        routes[sys.intern(line)] = route
        return route

    def _read_organisation(
        self, line: str, by_line: dict[str, Organisation]
    ) -> Organisation:
        organisation = self._organisations.get(line)
        if organisation is None:
            model = OrganisationModel.model_validate_json(line)
            organisation = convert_organisation(model)
        by_line[line] = organisation
        return organisation


def _has_bundle_structure(value: Any) -> bool:
    documents = value.get("documents") if isinstance(value, dict) else None
    return isinstance(documents, list) and all(
        isinstance(document, dict)
        and len(document) > ("routes" in document)
        and isinstance(document.get("routes", []), list)
        for document in documents
    )


def _close_list(value: dict[str, Any], list_name: str) -> str:
    """Close the list `list_name` of an object and write the object's other members."""
    others = {name: member for name, member in value.items() if name != list_name}
    return END_OF_LIST + _to_json_text(others)[1:] if others else "]}"


def _to_json_text(value: Any) -> str:
    return to_json(value).decode()


def _split_off_routes(text: str) -> tuple[str, list[list[str]]] | None:
    """Return the text without its routes, and the route lines of each document.

    None when the text doesn't have the line structure that `bundle_text` writes.
    """
    lines = iter(text.split("\n"))
    if next(lines) != FIRST_LINE:
        return None
    other_lines = [FIRST_LINE]
    lines_by_document: list[list[str]] = []
    for line in lines:
        other_lines.append(line)
        if line != DOCUMENT_FIRST_LINE:
            continue
        route_lines = _read_route_lines(lines, other_lines)
        if route_lines is None:
            return None
        lines_by_document.append(route_lines)
    return "".join(other_lines), lines_by_document


def _read_route_lines(lines: Iterator[str], other_lines: list[str]) -> list[str] | None:
    """Read the route lines of one document, with the commas that separate them.

    The line that ends the list is added to `other_lines`. None when that line or a
    comma is missing, or behind the last route there is a comma.
    """
    route_lines: list[str] = []
    for line in lines:
        if line.startswith(END_OF_LIST):
            other_lines.append(line)
            break
        route_lines.append(line)
    else:
        return None
    if any(not line.endswith(",") for line in route_lines[:-1]):
        return None
    if route_lines and route_lines[-1].endswith(","):
        return None
    return route_lines
