"""Client of the object API over HTTP."""

import json
from typing import Any, TypeVar
from urllib.parse import quote

import pycurl
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from lentilsill.settings import PlatformSettings

from .model import (
    AnswerLost,
    Compacted,
    Conflict,
    Listing,
    PlatformError,
    RateLimited,
    Rejected,
    StoredObject,
    Unavailable,
    WatchBatch,
)

__all__ = ["HttpObjectApi"]

MAX_CLIENTS = 32
DEFAULT_RETRY_AFTER_S = 1.0
# A watch is held for its whole time, so the request may take longer than that.
WATCH_GRACE_S = 5.0
# Errors that prove that the request did not reach the platform.
NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)


class _ObjectBody(BaseModel):
    kind: str
    name: str
    version: int
    value: Any = None
    deleted: bool = False

    def to_object(self) -> StoredObject:
        return StoredObject(
            self.kind, self.name, self.version, self.value, self.deleted
        )


class _ListBody(BaseModel):
    revision: int
    objects: tuple[_ObjectBody, ...]


class _WatchBody(BaseModel):
    revision: int
    changes: tuple[_ObjectBody, ...]


class _WriteBody(BaseModel):
    version: int


class _ConflictBody(BaseModel):
    current_version: int


class _CompactedBody(BaseModel):
    oldest_revision: int


Body = TypeVar("Body", bound=BaseModel)


class HttpObjectApi:
    """The platform's object API over tornado's curl client.

    Parameters
    ----------
    url : str
        Base URL, without a trailing slash.
    request_timeout_s : float
        Bound on each request, in seconds; watches may take longer.

    See Also
    --------
    lentilsill.platform.ObjectApi : the methods and their meaning
    """

    def __init__(self, url: str, request_timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = request_timeout_s
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    @classmethod
    def from_config(cls, cfg: PlatformSettings) -> "HttpObjectApi":
        """Make a client from settings."""
        return cls(cfg.url, cfg.request_timeout_s)

    def close(self) -> None:
        """Close the connections; requests under way get no answer."""
        self._client.close()

    async def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformError]:
        """Give an object, or None when it does not exist."""
        answer = await self._read(_object_path(kind, name), self._timeout_s)
        match answer:
            case Err(Rejected(status=404)):
                return Ok(None)
            case Err(error):
                return Err(error)
            case Ok(resp):
                return _parse_read(_ObjectBody, resp).map(_ObjectBody.to_object)

    async def list(self, kind: str) -> Result[Listing, PlatformError]:
        """List all objects of a kind."""
        answer = await self._read(f"/v1/objects/{quote(kind, '')}", self._timeout_s)
        parsed = answer.and_then(lambda resp: _parse_read(_ListBody, resp))
        return parsed.map(
            lambda body: Listing(
                body.revision, tuple(item.to_object() for item in body.objects)
            )
        )

    async def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Write an object and give its new version."""
        body = json.dumps(value, ensure_ascii=False).encode()
        path = _object_path(kind, name)
        return await self._write("PUT", path, body, expected_version)

    async def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object and give the revision of the deletion."""
        path = _object_path(kind, name)
        return await self._write("DELETE", path, None, expected_version)

    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to `timeout_s` for changes after revision `since`."""
        path = f"/v1/watch/{quote(kind, '')}?since={since}&timeout_s={timeout_s:g}"
        answer = await self._read(path, timeout_s + WATCH_GRACE_S)
        parsed = answer.and_then(lambda resp: _parse_read(_WatchBody, resp))
        return parsed.map(
            lambda body: WatchBatch(
                body.revision, tuple(item.to_object() for item in body.changes)
            )
        )

    async def _read(
        self, path: str, timeout_s: float
    ) -> Result[HTTPResponse, PlatformError]:
        req = self._request("GET", path, timeout_s)
        try:
            resp = await self._client.fetch(req, raise_error=False)
        except (HTTPError, OSError) as exc:
            return Err(Unavailable(str(exc)))
        if resp.code >= 500:
            return Err(Unavailable(_reason(resp)))
        return _check_status(resp)

    async def _write(
        self, method: str, path: str, body: bytes | None, expected: int | None
    ) -> Result[int, PlatformError]:
        req = self._request(method, path, self._timeout_s, body, fresh=True)
        if expected is not None:
            req.headers["If-Match"] = str(expected)
        try:
            resp = await self._client.fetch(req, raise_error=False)
        except CurlError as exc:
            sent = exc.errno not in NOT_SENT
            return Err(AnswerLost(str(exc)) if sent else Unavailable(str(exc)))
        except (HTTPError, OSError) as exc:
            return Err(AnswerLost(str(exc)))
        if resp.code == 503:
            return Err(Unavailable(_reason(resp)))
        if resp.code >= 500:
            return Err(AnswerLost(_reason(resp)))
        return _check_status(resp).and_then(_parse_write)

    def _request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
        fresh: bool = False,
    ) -> HTTPRequest:
        def set_options(curl: pycurl.Curl) -> None:
            # libcurl resends a request when a reused connection closes before
            # an answer. A resent conditional write would conflict with itself.
            # Handles are reused, so both values are set explicitly.
            curl.setopt(pycurl.FRESH_CONNECT, int(fresh))
            curl.setopt(pycurl.FORBID_REUSE, int(fresh))

        return HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=set_options,
        )


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, '')}/{quote(name, '')}"


def _reason(resp: HTTPResponse) -> str:
    text = resp.body[:200].decode("utf-8", "replace")
    return f"status {resp.code}: {text}"


def _check_status(resp: HTTPResponse) -> Result[HTTPResponse, PlatformError]:
    match resp.code:
        case 200:
            return Ok(resp)
        case 412:
            return _parse_error(
                _ConflictBody, resp, lambda body: Conflict(body.current_version)
            )
        case 410:
            return _parse_error(
                _CompactedBody, resp, lambda body: Compacted(body.oldest_revision)
            )
        case 429:
            return Err(RateLimited(_retry_after_s(resp)))
        case code:
            return Err(Rejected(code, _reason(resp)))


def _retry_after_s(resp: HTTPResponse) -> float:
    try:
        return max(0.0, float(resp.headers.get("Retry-After", "")))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


def _parse(model: type[Body], resp: HTTPResponse) -> Result[Body, str]:
    try:
        return Ok(model.model_validate_json(resp.body))
    except ValidationError as exc:
        places = (
            f"{'.'.join(str(part) for part in error['loc']) or 'body'}: {error['msg']}"
            for error in exc.errors()
        )
        return Err("invalid answer of the platform: " + "; ".join(places))


def _parse_read(model: type[Body], resp: HTTPResponse) -> Result[Body, PlatformError]:
    return _parse(model, resp).map_err(Unavailable)


def _parse_write(resp: HTTPResponse) -> Result[int, PlatformError]:
    # An unreadable answer says nothing about the write, like a lost one.
    return _parse(_WriteBody, resp).map(lambda b: b.version).map_err(AnswerLost)


def _parse_error(
    model: type[Body], resp: HTTPResponse, make: Any
) -> Result[HTTPResponse, PlatformError]:
    match _parse(model, resp):
        case Ok(body):
            return Err(make(body))
        case Err(reason):
            return Err(Rejected(resp.code, reason))
