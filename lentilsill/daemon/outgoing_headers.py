"""Headers of an outgoing HTTP message."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

__all__ = ["OutgoingHeaders"]


class OutgoingHeaders(HTTPHeaders):
    """Header fields in the form that `HTTP1Connection.write_headers` reads.

    Unlike `HTTPHeaders`, this class doesn't validate and normalise each field: the
    fields of a proxied message were validated when it was parsed, and
    `write_headers` rejects line breaks. `fields` must hold no framing headers such
    as ``Content-Length``.
    """

    def __init__(
        self, fields: Iterable[tuple[str, str]], content_length: int | None
    ) -> None:
        self._fields = list(fields)
        self._framing: dict[str, str] = {}
        if content_length is not None:
            self["Content-Length"] = str(content_length)

    def get_all(self) -> Iterable[tuple[str, str]]:
        """Return all fields in order, framing headers last."""
        return [*self._fields, *self._framing.items()]

    def __contains__(self, name: object) -> bool:
        return name in self._framing

    def __getitem__(self, name: str) -> str:
        return self._framing[name]

    def __setitem__(self, name: str, value: str) -> None:
        self._framing[name] = value
