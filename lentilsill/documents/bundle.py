"""Bundles: documents that are put in force together as one version."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from pydantic import ValidationError
from result import Err, Ok, Result

from lentilsill.findings import Findings

from .input_models import BundleModel
from .model import CallerLimits, Organisation, Route, RouteTarget, ServiceDocument
from .parse import convert_document, convert_organisation, format_place

__all__ = [
    "MAX_BUNDLE_BYTES",
    "Bundle",
    "DocumentNames",
    "map_organisations",
    "parse_bundle",
]

# The limit is above the platform's own limit of 1 MB for a value.
MAX_BUNDLE_BYTES = 4 * 1024 * 1024
MAX_FINDINGS = 50


def _no_documents() -> Mapping[str, ServiceDocument]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Bundle:
    """All documents of one version of the configuration.

    `version` is the number that the operator gave, and `revision` the platform's
    revision at the write. A version is put in force as a whole, so that documents
    never refer to documents of another version. `hosts` holds the documents of
    virtual hosts that have the name of a service; the others are in `documents`.
    `organisations` holds the organisations by name; if it is None, callers need no API
    key.
    """

    version: int
    revision: int
    documents: Mapping[str, ServiceDocument]
    caller_limits: CallerLimits
    hosts: Mapping[str, ServiceDocument] = field(default_factory=_no_documents)
    organisations: Mapping[str, Organisation] | None = None


class DocumentNames:
    """Documents by name, of which a virtual host and a service can share one."""

    def __init__(self) -> None:
        self.documents: dict[str, ServiceDocument] = {}
        self.hosts: dict[str, ServiceDocument] = {}

    def add(self, document: ServiceDocument) -> bool:
        """Add a document; False if there is one of its name and kind.

        Examples
        --------
        >>> from lentilsill.documents import parse_document
        >>> names = DocumentNames()
        >>> host = parse_document({"service": "a"}, "a", 1).unwrap()
        >>> value = {"service": "a", "upstream_sets": {"all": {}}}
        >>> service = parse_document(value, "a", 1).unwrap()
        >>> names.add(host), names.add(host), names.add(service)
        (True, False, True)
        >>> names.hosts["a"] is host
        True
        """
        name = document.service
        other = self.documents.get(name)
        if other is None:
            self.documents[name] = document
            return True
        if name in self.hosts or _is_host(document) == _is_host(other):
            return False
        if _is_host(document):
            self.hosts[name] = document
        else:
            self.hosts[name], self.documents[name] = other, document
        return True

    def check_targets(self, findings: Findings) -> None:
        """Add a finding for each target whose upstream set is not in the bundle."""
        for document in (*self.documents.values(), *self.hosts.values()):
            for route in document.routes:
                for target in route.targets:
                    self._check_target(document, route, target, findings)

    def _check_target(
        self,
        document: ServiceDocument,
        route: Route,
        target: RouteTarget,
        findings: Findings,
    ) -> None:
        found = self.documents.get(target.service)
        if found is None or target.upstream_set not in found.upstream_sets:
            findings.add(
                f"{document.service}.{route.name}",
                f"no upstream set {target.upstream_set!r} of {target.service!r}",
            )

    def make_bundle(
        self,
        model: BundleModel,
        revision: int,
        organisations: Mapping[str, Organisation] | None,
    ) -> Bundle:
        """Return the bundle of these documents."""
        return Bundle(
            model.version,
            revision,
            MappingProxyType(self.documents),
            CallerLimits(**model.caller_limits.model_dump()),
            MappingProxyType(self.hosts),
            organisations,
        )


def map_organisations(
    organisations: Iterable[Organisation], findings: Findings
) -> Mapping[str, Organisation]:
    """Return organisations by name; add a finding for each name that appears twice."""
    by_name: dict[str, Organisation] = {}
    for index, organisation in enumerate(organisations):
        if by_name.setdefault(organisation.name, organisation) is not organisation:
            findings.add(f"organisations[{index}].name", "appears twice")
    return MappingProxyType(by_name)


def _is_host(document: ServiceDocument) -> bool:
    return not document.upstream_sets


def parse_bundle(text: str, revision: int) -> Result[Bundle, Findings]:
    """Validate the JSON text of a bundle written at the platform's `revision`.

    Examples
    --------
    >>> text = '{"version": 7, "documents": [{"service": "slots"}]}'
    >>> parse_bundle(text, 12).unwrap().documents["slots"].version
    12
    >>> for finding in parse_bundle('{"documents": []}', 12).unwrap_err():
    ...     print(finding)
    version: Field required
    """
    findings = Findings()
    if len(text) > MAX_BUNDLE_BYTES:
        findings.add("bundle", f"is over the limit of {MAX_BUNDLE_BYTES} bytes")
        return Err(findings)
    try:
        model = BundleModel.model_validate_json(text)
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_input=False)
        for error in errors[:MAX_FINDINGS]:
            findings.add(format_place(error["loc"]), error["msg"])
        return Err(findings)
    names = DocumentNames()
    for index, document in enumerate(model.documents):
        if not names.add(convert_document(document, revision)):
            findings.add(f"documents[{index}].service", "appears twice")
    names.check_targets(findings)
    organisations = None
    if model.organisations is not None:
        converted = [convert_organisation(item) for item in model.organisations]
        organisations = map_organisations(converted, findings)
    if findings:
        return Err(findings)
    return Ok(names.make_bundle(model, revision, organisations))
