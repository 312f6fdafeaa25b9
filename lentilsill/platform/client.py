"""HTTP client for the platform's object API."""

import json
import math
from collections.abc import Callable, Mapping
from typing import Any

import pycurl
import structlog
from result import Err, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from lentilsill.settings import PlatformSettings
from lentilsill.versioning import era_of, make_position, revision_of

from .answers import (
    ListBody,
    ObjectBody,
    Page,
    WatchBody,
    check_status,
    describe_response,
    parse,
    parse_page,
    parse_write,
    transfer_time_s,
)
from .eras import StoreEras
from .model import (
    AnswerLost,
    Compacted,
    Conflict,
    Listing,
    PlatformError,
    Rejected,
    StoredObject,
    Unavailable,
    WatchBatch,
)
from .paths import kind_path, object_path, query_string

__all__ = ["HttpObjectApi"]

MAX_CONCURRENT_REQUESTS = 32
# The platform may hold a watch for its whole wait, so the timeout of the request is
# longer than the wait by this time.
WATCH_GRACE_S = 1.0
# The longest wait that the platform accepts.
MAX_WATCH_S = 30.0
# A page has about 500 objects, so a listing of 4,600 nodes has 10 pages.
MAX_PAGES = 100
MAX_ERROR_CHARS = 500
MAX_CREATED_CHARS = 64
# An object of 1 MB, the platform's limit, takes 4 s on a network link of 2.5 Mbit/s,
# and longer while the link also carries calls.
MAX_TRANSFER_S = 8.0
# Pages of a listing and answers to a watch have about 1 MB each.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# An idle connection may have become silent, so it is reused only for a short time.
MAX_IDLE_CONNECTION_S = 1
# A connection with a lower rate counts as silent.
MIN_BYTES_PER_S = 1000
# Errors that prove that the request did not reach the platform.
NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)

Decoder = Callable[[Any], Any]

log = structlog.get_logger()


class HttpObjectApi:
    """The platform's object API over tornado's curl client.

    Revisions appear as positions, which include the era of the answer. An answer of
    an earlier era than the latest known one is not used, and a position of an earlier
    era conditions no write.

    Parameters
    ----------
    url : str
        Base URL, without a trailing slash.
    request_timeout_s : float
        Time after which a request fails when no data arrives, in seconds; a watch
        has its own timeout.
    decoders : mapping, optional
        For each kind, a function that converts a stored value to the node's format.
        Objects that it rejects with `ValueError` are left out of listings and
        watches.

    See Also
    --------
    lentilsill.platform.ObjectApi : the interface that this class implements
    """

    def __init__(
        self,
        url: str,
        request_timeout_s: float,
        decoders: Mapping[str, Decoder] | None = None,
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = request_timeout_s
        self._decoders = decoders or {}
        self._eras = StoreEras()
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
        )

    @classmethod
    def from_config(
        cls, cfg: PlatformSettings, decoders: Mapping[str, Decoder] | None = None
    ) -> "HttpObjectApi":
        """Create a client from settings."""
        return cls(cfg.url, cfg.request_timeout_s, decoders)

    def close(self) -> None:
        """Close the connections; pending requests get no answer."""
        self._client.close()

    async def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if it does not exist."""
        answer = await self._read(object_path(kind, name), self._timeout_s)
        match answer:
            case Err(Rejected(status=404)):
                return Ok(None)
            case Err(error):
                return Err(error)
            case Ok(resp):
                parsed = parse(ObjectBody, resp.body).map_err(Unavailable)
                era = self._eras.read(resp.headers)
                return parsed.map(lambda body: self._to_object(kind, body, era))

    async def list(
        self, kind: str, stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """List all objects of a kind; a `stale` read is cheaper but seconds old."""
        objects: list[StoredObject] = []
        query = {"stale_ok": "1"} if stale else {}
        revision = 0
        eras: set[int] = set()
        transfer_s = 0.0
        for _ in range(MAX_PAGES):
            path = kind_path(kind) + query_string(query)
            answer = await self._read(path, self._timeout_s)
            transfer_s += answer.map_or(0.0, transfer_time_s)
            match answer.and_then(lambda resp: self._parse_page(ListBody, resp)):
                case Err(error):
                    return Err(error)
                case Ok((era, page)):
                    eras.add(era)
                    if len(eras) > 1:
                        return Err(Unavailable("the store changed between pages"))
                    # A watch from the revision of the first page also returns
                    # the changes made while later pages were read.
                    revision = revision or make_position(era, page.store_revision)
                    converted = (
                        self._to_object(kind, item, era) for item in page.items
                    )
                    objects += [obj for obj in converted if obj is not None]
                    if not page.has_more or not page.items:
                        return Ok(Listing(revision, tuple(objects), transfer_s))
                    query["after"] = page.items[-1].metadata.name
        return Err(Unavailable(f"listing of {kind} has over {MAX_PAGES} pages"))

    async def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Write an object and return its new version."""
        metadata: dict[str, Any] = {"name": name}
        if expected_version == 0:
            return await self._write("POST", kind_path(kind), metadata, value)
        if self._is_of_earlier_era(expected_version):
            return Err(Conflict(0))
        if expected_version is not None:
            metadata["revision"] = revision_of(expected_version)
        path = object_path(kind, name)
        result = await self._write("PUT", path, metadata, value, expected_version)
        match result:
            case Err(Rejected(status=404)) if expected_version is None:
                return await self._write("POST", kind_path(kind), metadata, value)
            case Err(Rejected(status=404)):
                return Err(Conflict(0))
        return result

    async def put_status(
        self, kind: str, name: str, status: Any, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Replace the status of an object and return the new version of the object."""
        metadata: dict[str, Any] = {"name": name}
        if self._is_of_earlier_era(expected_version):
            return Err(Conflict(0))
        if expected_version is not None:
            metadata["revision"] = revision_of(expected_version)
        path = f"{object_path(kind, name)}/status"
        result = await self._write(
            "PUT", path, metadata, status, expected_version, "status"
        )
        match result:
            case Err(Rejected(status=404)):
                return Err(Conflict(0))
        return result

    async def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object and return the revision of the deletion."""
        if self._is_of_earlier_era(expected_version):
            return Err(Conflict(0))
        path = object_path(kind, name)
        if expected_version is not None:
            path += query_string({"revision": str(revision_of(expected_version))})
        return await self._write("DELETE", path, None, None, expected_version)

    async def watch(
        self,
        kind: str,
        since: int,
        timeout_s: float,
        on_start: Callable[[], None] | None = None,
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to `timeout_s` for changes after revision `since`.

        `on_start` is called when the answer begins to arrive.
        """
        if self._is_of_earlier_era(since):
            return Err(Compacted())
        wait_ms = str(int(min(timeout_s, MAX_WATCH_S) * 1000))
        path = kind_path(kind) + query_string(
            {"watch": str(revision_of(since)), "wait_ms": wait_ms}
        )
        answer = await self._read(path, timeout_s + WATCH_GRACE_S, on_start)
        transfer_s = answer.map_or(0.0, transfer_time_s)
        match answer.and_then(lambda resp: self._parse_page(WatchBody, resp)):
            case Err(error):
                return Err(error)
            case Ok((era, body)):
                if era < era_of(since):
                    return Err(Unavailable("answer of an earlier era"))
                # The history that leads to `since` is not the one of the answer.
                if era > era_of(since):
                    return Err(Compacted())
                return Ok(self._to_batch(kind, era, body, transfer_s))
        raise AssertionError("unreachable")

    def _is_of_earlier_era(self, position: int | None) -> bool:
        return position is not None and era_of(position) < self._eras.latest

    def _parse_page(
        self, model: type[Page], resp: HTTPResponse
    ) -> Result[tuple[int, Page], PlatformError]:
        era = self._eras.read(resp.headers)
        return parse_page(model, resp.body).map(lambda page: (era, page))

    def _to_batch(
        self, kind: str, era: int, body: WatchBody, transfer_s: float
    ) -> WatchBatch:
        converted = (
            self._to_object(kind, event.object, era, event.deleted)
            for event in body.events
        )
        changes = tuple(obj for obj in converted if obj is not None)
        position = make_position(era, body.store_revision)
        return WatchBatch(position, changes, transfer_s)

    def _to_object(
        self, kind: str, body: ObjectBody, era: int, deleted: bool = False
    ) -> StoredObject | None:
        """Convert an object; return None if its decoder rejects it."""
        name = body.metadata.name
        revision = make_position(era, body.metadata.revision)
        if deleted:
            return StoredObject(kind, name, revision, None, True)
        decode = self._decoders.get(kind)
        try:
            value = body.spec if decode is None else decode(body.spec)
        except Exception as exc:
            # The value may come from another writer, and has been checked only here.
            log.warning(
                "object_unreadable",
                kind=kind,
                name=name,
                revision=revision,
                error=str(exc)[:MAX_ERROR_CHARS],
            )
            return None
        created = body.metadata.created
        return StoredObject(
            kind,
            name,
            revision,
            value,
            status=body.status,
            created="" if created is None else str(created)[:MAX_CREATED_CHARS],
        )

    async def _read(
        self,
        path: str,
        timeout_s: float,
        on_start: Callable[[], None] | None = None,
    ) -> Result[HTTPResponse, PlatformError]:
        req = self._make_request("GET", path, timeout_s)
        if on_start is not None:
            req.header_callback = lambda line: on_start()
        try:
            resp = await self._client.fetch(req, raise_error=False)
        except (HTTPError, OSError) as exc:
            return Err(Unavailable(str(exc)))
        if self._eras.read(resp.headers) < self._eras.latest:
            return Err(Unavailable("answer of an earlier era"))
        match check_status(resp):
            case Err(AnswerLost(reason)):
                return Err(Unavailable(reason))
            case result:
                return result

    async def _write(
        self,
        method: str,
        path: str,
        metadata: dict[str, Any] | None,
        value: Any,
        condition: int | None = None,
        part: str = "spec",
    ) -> Result[int, PlatformError]:
        body = None
        if metadata is not None:
            text = json.dumps({"metadata": metadata, part: value}, ensure_ascii=False)
            body = text.encode()
        req = self._make_request(
            method, path, self._timeout_s, body, needs_new_connection=True
        )
        try:
            resp = await self._client.fetch(req, raise_error=False)
        except CurlError as exc:
            is_possibly_sent = exc.errno not in NOT_SENT_ERRORS
            return Err(
                AnswerLost(str(exc)) if is_possibly_sent else Unavailable(str(exc))
            )
        except (HTTPError, OSError) as exc:
            return Err(AnswerLost(str(exc)))
        era = self._eras.read(resp.headers)
        if resp.code == 503:
            return Err(Unavailable(describe_response(resp)))
        result = check_status(resp).and_then(parse_write)
        is_condition_met = condition is None or era == era_of(condition)
        if result.is_ok() and (era < self._eras.latest or not is_condition_met):
            # The write is lost, or its condition named a state of another era.
            return Err(AnswerLost("the store came back from an older copy"))
        match result:
            case Ok(revision):
                return Ok(make_position(era, revision))
            case Err(Conflict(revision)):
                return Err(Conflict(make_position(era, revision)))
        return result

    def _make_request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
        needs_new_connection: bool = False,
    ) -> HTTPRequest:
        def set_options(curl: pycurl.Curl) -> None:
            # libcurl resends a request when a reused connection closes before the
            # answer. A resent conditional write would conflict with itself.
            # Curl handles are reused, so both options are set for every request.
            curl.setopt(pycurl.FRESH_CONNECT, int(needs_new_connection))
            curl.setopt(pycurl.FORBID_REUSE, int(needs_new_connection))
            # A large answer may take long on a slow network link while data still
            # arrives; a silent connection is aborted after the timeout.
            curl.setopt(pycurl.LOW_SPEED_LIMIT, MIN_BYTES_PER_S)
            curl.setopt(pycurl.LOW_SPEED_TIME, math.ceil(timeout_s))
            curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_CONNECTION_S)
            curl.setopt(pycurl.MAXFILESIZE_LARGE, MAX_ANSWER_BYTES)

        return HTTPRequest(
            self._url + path,
            method=method,
            headers=None if body is None else {"Content-Type": "application/json"},
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=timeout_s + MAX_TRANSFER_S,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=set_options,
        )
