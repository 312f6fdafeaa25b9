"""Stand-in for callers: bounded loads with a record of each call."""

import asyncio
import json
import secrets
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count, cycle

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

__all__ = ["CallPlan", "CallRecord", "Caller"]

CLIENT_TIMEOUT_S = 30.0
OUTCOME_HEADER = "Lentilsill-Outcome"


@dataclass(frozen=True, slots=True)
class CallPlan:
    """A kind of call.

    Parameters
    ----------
    path : str
        With the service name in front, for example ``/slots/lookup/1``.
    idempotent : bool
        Whether the route that takes the path is idempotent.
    service_ms : float or None
        Service time asked of the upstream; None takes the upstream's.
    headers : tuple of (str, str)
        Further headers, for example ``X-Standin-Crash``.
    """

    path: str
    method: str = "GET"
    idempotent: bool = True
    body: bytes = b""
    with_key: bool = False
    service_ms: float | None = None
    deadline_ms: int = 0
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call as its caller saw it; times in seconds since the epoch.

    `outcome` is ``answered`` (the whole answer to the call itself),
    ``upstream_error``, ``wrong_answer``, ``cut`` (no whole answer and no
    outcome), ``no_route``, or the node's ``not_run``, ``run_answer_lost`` or
    ``unknown``.
    """

    call_id: str
    request_key: str
    idempotent: bool
    node: str
    path: str
    outcome: str
    reason: str
    status: int
    upstream: str
    start_s: float
    end_s: float


@dataclass
class Caller:
    """Sends calls to nodes in turn.

    Parameters
    ----------
    nodes : sequence of str
        Callers' addresses (``ip:port``) of the nodes.
    max_clients : int
        Calls at once.
    """

    nodes: Sequence[str]
    max_clients: int = 64
    records: list[CallRecord] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=self.max_clients
        )
        self._turn = cycle(self.nodes)
        self._prefix = secrets.token_hex(4)
        self._ids = count(1)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def fetch_keys(self, number: int, node: str = "") -> list[str]:
        """Get request keys from a node; raises HTTPError when it has none."""
        req = HTTPRequest(
            f"http://{node or next(self._turn)}/lentilsill/keys?count={number}",
            method="POST",
            body=b"",
            request_timeout=CLIENT_TIMEOUT_S,
        )
        return list(json.loads((await self._client.fetch(req)).body)["keys"])

    async def call(
        self, plan: CallPlan, request_key: str = "", node: str = "", call_id: str = ""
    ) -> CallRecord:
        """Make one call and check that the answer is its own and whole."""
        node = node or next(self._turn)
        call_id = call_id or f"{self._prefix}-{next(self._ids)}"
        start_s = time.time()
        reason, status, upstream = "", 0, ""
        try:
            if plan.with_key and not request_key:
                request_key = (await self.fetch_keys(1, node))[0]
        except (HTTPError, OSError) as exc:
            outcome, reason = "not_run", f"no key: {exc}"
        else:
            req = _request(plan, node, call_id, request_key)
            try:
                resp = await self._client.fetch(req, raise_error=False)
                status = resp.code
                outcome, reason, upstream = _judge(plan, call_id, resp)
            except (HTTPError, OSError) as exc:
                outcome, reason = "cut", str(exc)
        record = CallRecord(
            call_id,
            request_key,
            plan.idempotent,
            node,
            plan.path,
            outcome,
            reason,
            status,
            upstream,
            start_s,
            time.time(),
        )
        self.records.append(record)
        return record

    async def run(
        self,
        plans: Sequence[CallPlan],
        *,
        calls: int,
        concurrency: int,
        bound_s: float,
        stop: Callable[[], bool] = lambda: False,
    ) -> list[CallRecord]:
        """Make up to `calls` calls, the plans in turn, within `bound_s` seconds.

        No call starts after the bound or once `stop` is true; calls under way
        are completed.
        """
        pending = iter(range(calls))
        turn = cycle(plans)
        end_s = time.monotonic() + bound_s
        done: list[CallRecord] = []

        async def work() -> None:
            for _ in pending:
                if stop() or time.monotonic() > end_s:
                    return
                done.append(await self.call(next(turn)))

        await asyncio.gather(*(work() for _ in range(concurrency)))
        return done


def _request(plan: CallPlan, node: str, call_id: str, request_key: str) -> HTTPRequest:
    headers = dict(plan.headers)
    headers["X-Standin-Id"] = call_id
    headers["X-Standin-Idempotent"] = "1" if plan.idempotent else "0"
    if plan.service_ms is not None:
        headers["X-Standin-Ms"] = f"{plan.service_ms:g}"
    if plan.deadline_ms:
        headers["Lentilsill-Deadline-Ms"] = str(plan.deadline_ms)
    if request_key:
        headers["Idempotency-Key"] = request_key

    def set_options(curl: pycurl.Curl) -> None:
        # libcurl resends a request on a reused connection that closes before
        # an answer; the caller itself would then run a call twice.
        curl.setopt(pycurl.FRESH_CONNECT, int(not plan.idempotent))
        curl.setopt(pycurl.FORBID_REUSE, int(not plan.idempotent))

    has_body = plan.method in ("POST", "PUT", "PATCH")
    return HTTPRequest(
        f"http://{node}{plan.path}",
        method=plan.method,
        headers=headers,
        body=plan.body if has_body else None,
        request_timeout=CLIENT_TIMEOUT_S,
        decompress_response=False,
        follow_redirects=False,
        prepare_curl_callback=set_options,
    )


def _judge(plan: CallPlan, call_id: str, resp: HTTPResponse) -> tuple[str, str, str]:
    """Give the outcome, the reason and the upstream that answered."""
    outcome = resp.headers.get(OUTCOME_HEADER)
    text = resp.body.decode("utf-8", "replace")
    if outcome is not None:
        return outcome, text, ""
    if resp.code == 404:
        return "no_route", text, ""
    try:
        answer = json.loads(resp.body)
        own = answer["id"] == call_id and answer["body"].encode() == plan.body
        upstream = str(answer["upstream"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return "wrong_answer", f"status {resp.code}: {text[:200]}", ""
    if not own:
        return "wrong_answer", f"answer to {answer['id']}", upstream
    if resp.code != 200:
        return "upstream_error", f"status {resp.code}", upstream
    return "answered", "", upstream
