"""Bundles: documents that are put in force together as one version."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from pydantic import ValidationError
from result import Err, Ok, Result

from lentilsill.findings import Findings

from .input_models import BundleModel
from .model import CallerLimits, ServiceDocument
from .parse import convert_document, format_place

__all__ = ["MAX_BUNDLE_BYTES", "Bundle", "check_targets", "parse_bundle"]

# The limit is above the platform's own limit of 1 MB for a value.
MAX_BUNDLE_BYTES = 4 * 1024 * 1024
MAX_FINDINGS = 50


@dataclass(frozen=True, slots=True)
class Bundle:
    """All documents of one version of the configuration.

    `version` is the number that the operator gave, and `revision` the platform's
    revision at the write. A version is put in force as a whole, so that documents
    never refer to documents of another version.
    """

    version: int
    revision: int
    documents: Mapping[str, ServiceDocument]
    caller_limits: CallerLimits


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
    documents: dict[str, ServiceDocument] = {}
    for index, document in enumerate(model.documents):
        if document.service in documents:
            findings.add(f"documents[{index}].service", "appears twice")
        documents[document.service] = convert_document(document, revision)
    check_targets(documents, findings)
    if findings:
        return Err(findings)
    limits = CallerLimits(**model.caller_limits.model_dump())
    return Ok(Bundle(model.version, revision, MappingProxyType(documents), limits))


def check_targets(documents: Mapping[str, ServiceDocument], findings: Findings) -> None:
    """Add a finding for each target whose upstream set is not in the bundle."""
    for document in documents.values():
        for route in document.routes:
            for target in route.targets:
                target_document = documents.get(target.service)
                if (
                    target_document is None
                    or target.upstream_set not in target_document.upstream_sets
                ):
                    findings.add(
                        f"{document.service}.{route.name}",
                        f"no upstream set {target.upstream_set!r} of "
                        f"{target.service!r}",
                    )
