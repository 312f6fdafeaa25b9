"""Stand-in for callers: makes a bounded number of calls and records each of them."""

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

__all__ = ["API_KEY_PREFIX", "CallPlan", "CallRecord", "Caller"]

CLIENT_TIMEOUT_S = 30.0
OUTCOME_HEADER = "Lentilsill-Outcome"
# Prefix of all API keys, by which they are found where they must not be.
API_KEY_PREFIX = "standin-api-key-"


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Parameters of a call; a plan can be used for many calls.

    Parameters
    ----------
    path : str
        Path that starts with the service name, for example ``/slots/lookup/1``.
    idempotent : bool
        Whether the route that matches the path is idempotent.
    service_ms : float or None
        Service time that the upstream simulates, in milliseconds; None selects
        the default of the upstream.
    headers : tuple of (str, str)
        Additional headers, for example ``X-Standin-Crash``.
    api_key : str
        API key of an organisation; empty for a call without one.
    """

    path: str
    method: str = "GET"
    idempotent: bool = True
    body: bytes = b""
    has_key: bool = False
    service_ms: float | None = None
    deadline_ms: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    api_key: str = ""


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call as its caller observed it; times are in seconds since the epoch.

    `outcome` is ``answered`` (a complete answer to this call),
    ``upstream_error``, ``wrong_answer``, ``cut`` (neither a complete answer nor
    an outcome), ``no_route``, or the outcome reported by the node: ``not_run``,
    ``run_answer_lost`` or ``unknown``.
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
    api_key: str = ""


@dataclass
class Caller:
    """Sends calls to the nodes in round-robin order.

    Parameters
    ----------
    nodes : sequence of str
        Addresses (``ip:port``) on which the nodes accept callers.
    max_clients : int
        Maximum number of concurrent calls.
    """

    nodes: Sequence[str]
    max_clients: int = 64
    records: list[CallRecord] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=self.max_clients
        )
        self._node_cycle = cycle(self.nodes)
        self._id_prefix = secrets.token_hex(4)
        self._call_numbers = count(1)

    def close(self) -> None:
        """Close the connections to the nodes."""
        self._client.close()

    async def fetch_keys(self, number: int, node: str = "") -> list[str]:
        """Fetch request keys from a node; raise HTTPError if it has none."""
        req = HTTPRequest(
            f"http://{node or next(self._node_cycle)}/lentilsill/keys?count={number}",
            method="POST",
            body=b"",
            request_timeout=CLIENT_TIMEOUT_S,
        )
        return list(json.loads((await self._client.fetch(req)).body)["keys"])

    async def call(
        self, plan: CallPlan, request_key: str = "", node: str = "", call_id: str = ""
    ) -> CallRecord:
        """Make one call and check that its answer is complete and belongs to it."""
        node = node or next(self._node_cycle)
        call_id = call_id or f"{self._id_prefix}-{next(self._call_numbers)}"
        start_s = time.time()
        reason, status, upstream = "", 0, ""
        try:
            if plan.has_key and not request_key:
                request_key = (await self.fetch_keys(1, node))[0]
        except (HTTPError, OSError) as exc:
            outcome, reason = "not_run", f"no key: {exc}"
        else:
            req = _make_request(plan, node, call_id, request_key)
            try:
                resp = await self._client.fetch(req, raise_error=False)
                status = resp.code
                outcome, reason, upstream = _classify_answer(plan, call_id, resp)
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
            plan.api_key,
        )
        self.records.append(record)
        return record

    async def run(
        self,
        plans: Sequence[CallPlan],
        *,
        calls: int,
        concurrency: int,
        max_duration_s: float,
        stop: Callable[[], bool] = lambda: False,
    ) -> list[CallRecord]:
        """Make up to `calls` calls, cycling through the plans.

        No call starts after `max_duration_s` seconds or once `stop` returns true;
        calls in progress are completed.
        """
        call_numbers = iter(range(calls))
        plan_cycle = cycle(plans)
        end_s = time.monotonic() + max_duration_s
        records: list[CallRecord] = []

        async def make_calls() -> None:
            for _ in call_numbers:
                if stop() or time.monotonic() > end_s:
                    return
                records.append(await self.call(next(plan_cycle)))

        await asyncio.gather(*(make_calls() for _ in range(concurrency)))
        return records


def _make_request(
    plan: CallPlan, node: str, call_id: str, request_key: str
) -> HTTPRequest:
    headers = dict(plan.headers)
    headers["X-Standin-Id"] = call_id
    headers["X-Standin-Idempotent"] = "1" if plan.idempotent else "0"
    if plan.service_ms is not None:
        headers["X-Standin-Ms"] = f"{plan.service_ms:g}"
    if plan.deadline_ms:
        headers["Lentilsill-Deadline-Ms"] = str(plan.deadline_ms)
    if plan.api_key:
        headers["Authorization"] = f"Bearer {plan.api_key}"
    if request_key:
        headers["Idempotency-Key"] = request_key

    def set_options(curl: pycurl.Curl) -> None:
        # libcurl resends a request if a reused connection closes before the
        # answer; a call that is not idempotent could then be executed twice.
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


def _classify_answer(
    plan: CallPlan, call_id: str, resp: HTTPResponse
) -> tuple[str, str, str]:
    """Return the outcome, the reason and the upstream that answered."""
    outcome = resp.headers.get(OUTCOME_HEADER)
    text = resp.body.decode("utf-8", "replace")
    if outcome is not None:
        return outcome, text, ""
    if resp.code == 404:
        return "no_route", text, ""
    try:
        answer = json.loads(resp.body)
        is_answer_to_call = (
            answer["id"] == call_id and answer["body"].encode() == plan.body
        )
        upstream = str(answer["upstream"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return "wrong_answer", f"status {resp.code}: {text[:200]}", ""
    if not is_answer_to_call:
        return "wrong_answer", f"answer to {answer['id']}", upstream
    if resp.code != 200:
        return "upstream_error", f"status {resp.code}", upstream
    return "answered", "", upstream
