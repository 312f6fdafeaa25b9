"""Headers of a message that is written once."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

__all__ = ["OutgoingHeaders"]


class OutgoingHeaders(HTTPHeaders):
    """Fields in the form that `HTTP1Connection.write_headers` reads.

    `HTTPHeaders` checks and normalizes each field. Fields of a proxied message
    have been checked when it was parsed, and `write_headers` refuses line ends.
    `fields` must hold no framing headers such as ``Content-Length``.
    """

    def __init__(
        self, fields: Iterable[tuple[str, str]], content_length: int | None
    ) -> None:
        self._fields = list(fields)
        self._framing: dict[str, str] = {}
        if content_length is not None:
            self["Content-Length"] = str(content_length)

    def get_all(self) -> Iterable[tuple[str, str]]:
        """Give all fields in order, those for the framing last."""
        return [*self._fields, *self._framing.items()]

    def __contains__(self, name: object) -> bool:
        return name in self._framing

    def __getitem__(self, name: str) -> str:
        return self._framing[name]

    def __setitem__(self, name: str, value: str) -> None:
        self._framing[name] = value
