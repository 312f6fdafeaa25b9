"""Paths of the platform's object API."""

from collections.abc import Mapping
from urllib.parse import quote, urlencode

__all__ = ["kind_path", "object_path", "query_string"]


def kind_path(kind: str) -> str:
    """Return the path of a kind."""
    return f"/objects/{quote(kind, '')}"


def object_path(kind: str, name: str) -> str:
    """Return the path of an object."""
    return f"{kind_path(kind)}/{quote(name, '')}"


def query_string(fields: Mapping[str, str]) -> str:
    """Return a query with its question mark, or an empty text."""
    return "?" + urlencode(fields) if fields else ""
