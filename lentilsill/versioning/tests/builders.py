"""Builders of records and documents."""

import json

from lentilsill.documents import ServiceDocument, parse_document
from lentilsill.versioning import Changes, DocumentRecord

__all__ = ["changes", "deleted", "document", "record", "value"]


def value(service, sets=("a",), targets=(), requires=()):
    """JSON value of a document with one route to the `targets` pairs."""
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
    """Validated document of `value`."""
    return parse_document(value(service, *args, **kwargs), service, version).unwrap()


def record(service, version, *args, **kwargs) -> DocumentRecord:
    """Record of `value`."""
    text = json.dumps(value(service, *args, **kwargs))
    return DocumentRecord(service, version, False, text)


def deleted(service, version) -> DocumentRecord:
    """Record of a deletion."""
    return DocumentRecord(service, version, True)


def changes(base, complete_as_of, *records, full=False) -> Changes:
    """Changes with these records."""
    return Changes(base, complete_as_of, full, records)
