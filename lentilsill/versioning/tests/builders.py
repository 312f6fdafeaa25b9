"""Builders of documents, records and changes for tests."""

import json

from lentilsill.documents import ServiceDocument, parse_document
from lentilsill.versioning import Changes, DocumentRecord

__all__ = ["changes", "deleted", "document", "record", "value"]


def value(service, sets=("a",), targets=(), requires=()):
    """Return a document's JSON value, with one route to `targets` if there are any.

    `targets` holds pairs of service and upstream set.
    """
    routes = [
        {
            "name": "r",
            "match": {"path_prefix": "/"},
            "deadline_ms": 100,
            "targets": [
                {"service": target, "upstream_set": name} for target, name in targets
            ],
        }
    ]
    return {
        "service": service,
        "upstream_sets": {name: {} for name in sets},
        "routes": routes if targets else [],
        "requires": list(requires),
    }


def document(service, version, *args, **kwargs) -> ServiceDocument:
    """Return the validated document that `value` builds from the arguments."""
    return parse_document(value(service, *args, **kwargs), service, version).unwrap()


def record(service, version, *args, **kwargs) -> DocumentRecord:
    """Return a record of the document that `value` builds from the arguments."""
    text = json.dumps(value(service, *args, **kwargs))
    return DocumentRecord(service, version, False, text)


def deleted(service, version) -> DocumentRecord:
    """Return the record of a deletion."""
    return DocumentRecord(service, version, True)


def changes(base, complete_as_of, *records, full=False) -> Changes:
    """Return changes that contain these records."""
    return Changes(base, complete_as_of, full, records)
