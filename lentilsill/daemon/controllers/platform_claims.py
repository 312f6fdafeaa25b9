"""Claims of caller-supplied keys in the platform."""

import asyncio
import hashlib
from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from result import Err, Ok

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Granted
from lentilsill.outcomes import (
    CallResult,
    Outcome,
    Refused,
    TokenBucket,
    node_claim_rate,
)
from lentilsill.platform import (
    AnswerLost,
    Conflict,
    ObjectApi,
    PlatformError,
    RateLimited,
    StoredObject,
)

from .claim_messages import result_from_value, value_from_result

__all__ = ["PlatformClaims", "claim_name"]

KIND = "claim"
EXPIRY_INTERVAL_S = 60.0
EXPIRY_MARGIN_S = 300.0
"""Covers clock offset between the claimant and the node that expires claims."""
MAX_DELETES_PER_PASS = 500
FIRST_POLL_S = 0.1
MAX_POLL_S = 1.0
RETRY_S = 0.1
FINISH_ATTEMPTS = 5
SETTLE_ATTEMPTS = 4
SETTLE_BOUND_S = 20.0
"""A claim that the rate limit keeps from being settled stays until its expiry."""
NOT_RUN = Refused(Outcome.NOT_RUN, "attempt ended before it was granted")

log = structlog.get_logger()


def claim_name(request_key: str) -> str:
    """Give the object name of a key, which may hold any characters.

    Examples
    --------
    >>> len(claim_name("order 17"))
    40
    """
    return hashlib.blake2b(request_key.encode(), digest_size=20).hexdigest()


class PlatformClaims:
    """Claims by conditional create of an object per key.

    An object is deleted when its claim is older than the retention and a
    margin; a key is executed at most once within the retention of its claim, and
    a refusal ``not_run`` speaks of that time.
    """

    def __init__(
        self,
        ctx: Context,
        api: ObjectApi | None,
        is_alive: Callable[[str], bool],
        is_first_ranked: Callable[[], bool],
    ) -> None:
        self.ctx = ctx
        self.api = api
        self.is_alive = is_alive
        self.is_first_ranked = is_first_ranked
        self.bucket = TokenBucket(self.rate_per_s())
        self._versions: dict[str, tuple[int, dict[str, Any]]] = {}
        self.storing: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Follow the size of the fleet and start the expiry of old claims."""
        self.ctx.board.subscribe(Topic.MEMBERS, self._follow_fleet)
        if self.api is not None:
            self.ctx.spawn(self._expire_forever())

    async def claim(
        self, request_key: str, attempt: str, fingerprint: str, timeout_s: float
    ) -> Granted | CallResult:
        """Claim a key, or give its recorded result or a refusal."""
        if self.api is None:
            return Refused(Outcome.UNKNOWN, "no platform for caller-supplied keys")
        deadline = self.ctx.now() + timeout_s
        if not await self._take_token(deadline):
            # No read either: the limit protects the platform.
            return _unknown("claim rate limit")
        value = {
            "attempt": attempt,
            "fingerprint": fingerprint,
            "domain": self.ctx.cfg.domain,
            "claimed_ms": self.ctx.wall_ms(),
        }
        try:
            return await self._create(request_key, value, deadline)
        except asyncio.CancelledError:
            # The create may be on its way, and its attempt never runs.
            self.settle(request_key, attempt, NOT_RUN)
            raise

    def finish(self, request_key: str, attempt: str, result: CallResult) -> None:
        """Store the result, or delete the claim of an attempt not run."""
        held = self._versions.pop(attempt, None)
        if held is not None and self.api is not None:
            self._store(claim_name(request_key), *held, result)

    def settle(self, request_key: str, attempt: str, result: CallResult) -> None:
        """Store a result without the version of the claim, which is read back.

        For an attempt whose create has no known answer and will not run, and for
        a result whose entry node is gone.
        """
        if self.api is not None:
            self._track(self._settle(request_key, attempt, result))

    def rate_per_s(self) -> float:
        """Give this node's share of the claims of the fleet."""
        board = self.ctx.board
        domains = {rec.domain for rec in board.remote_nodes.values()}
        domains.add(self.ctx.cfg.domain)
        total = self.ctx.cfg.platform.fleet_claims_per_s
        return node_claim_rate(total, len(domains), len(board.members))

    async def expire_once(self) -> int:
        """Delete claims past the retention and margin; give how many.

        Claims of other domains wait for twice the time, so that each is
        deleted by its own domain while that has a node.
        """
        assert self.api is not None
        match await self.api.list(KIND):
            case Err():
                return 0
            case Ok(listing):
                old = [obj for obj in listing.objects if self._is_old(obj)]
        deleted = 0
        for obj in old[:MAX_DELETES_PER_PASS]:
            match await self.api.delete(KIND, obj.name, obj.version):
                case Ok():
                    deleted += 1
                case Err(Conflict()):
                    pass
                case Err():
                    break
        return deleted

    async def _create(
        self, request_key: str, value: dict[str, Any], deadline: float
    ) -> Granted | CallResult:
        assert self.api is not None
        name = claim_name(request_key)
        maybe_written = False
        while True:
            match await self.api.put(KIND, name, value, 0):
                case Ok(version):
                    return self._hold(request_key, value, version, deadline)
                case Err(Conflict()):
                    found = await self._existing(request_key, value, deadline)
                    if found is not None:
                        return found
                    pause_s = RETRY_S
                case Err(AnswerLost()):
                    maybe_written = True
                    pause_s = RETRY_S
                case Err(RateLimited(retry_after_s)):
                    pause_s = retry_after_s
                case Err(error):
                    return await self._refuse(
                        request_key, value, maybe_written, _text(error)
                    )
            # A lost write may still arrive, so what is read decides only when
            # the object exists; otherwise the create is sent again.
            if maybe_written:
                found = await self._existing(request_key, value, deadline)
                if found is not None:
                    return found
            if self.ctx.now() + pause_s >= deadline:
                reason = "no answer of the platform in time"
                return await self._refuse(request_key, value, maybe_written, reason)
            await asyncio.sleep(pause_s)

    async def _existing(
        self, request_key: str, value: dict[str, Any], deadline: float
    ) -> Granted | CallResult | None:
        """Decide by the object that is there; wait while its holder lives.

        None when there is no object (any more).
        """
        assert self.api is not None
        name = claim_name(request_key)
        poll_s = FIRST_POLL_S
        while True:
            match await self.api.get(KIND, name):
                case Ok(StoredObject(version=version, value=dict(found))):
                    if found.get("attempt") == value["attempt"]:
                        return self._hold(request_key, value, version, deadline)
                    if found.get("fingerprint") != value["fingerprint"]:
                        return _unknown("key was used for another request")
                    result = result_from_value(found.get("result"))
                    if result is not None:
                        return result
                    if not self.is_alive(str(found.get("attempt"))):
                        return _unknown("key held by an attempt that ended")
                case Ok(None):
                    return None
                case Ok():
                    return _unknown("claim object is malformed")
                case Err(error):
                    return _unknown(_text(error))
            if self.ctx.now() + poll_s >= deadline:
                return _unknown("key held by another attempt")
            await asyncio.sleep(poll_s * self.ctx.rng.uniform(0.5, 1.0))
            poll_s = min(poll_s * 2, MAX_POLL_S)

    def _hold(
        self, request_key: str, value: dict[str, Any], version: int, deadline: float
    ) -> Granted | CallResult:
        if self.ctx.now() >= deadline:
            # An attempt that starts late could outlive its claim object.
            refused = Refused(Outcome.NOT_RUN, "claimed too late to run")
            name = claim_name(request_key)
            self._store(name, version, value, refused)
            return refused
        self._versions[value["attempt"]] = (version, value)
        return Granted()

    async def _refuse(
        self, request_key: str, value: dict[str, Any], maybe_written: bool, reason: str
    ) -> Refused:
        """Refuse; ``not_run`` when the platform shows that no claim exists."""
        assert self.api is not None
        self.ctx.count("claims.platform_refused")
        if maybe_written:
            self.settle(request_key, value["attempt"], NOT_RUN)
        else:
            match await self.api.get(KIND, claim_name(request_key)):
                case Ok(None):
                    return Refused(Outcome.NOT_RUN, reason)
        return _unknown(reason)

    async def _take_token(self, deadline: float) -> bool:
        while (wait_s := self.bucket.wait_s(self.ctx.now())) > 0:
            if self.ctx.now() + wait_s >= deadline:
                return False
            await asyncio.sleep(wait_s)
        return True

    def _store(
        self, name: str, version: int, value: dict[str, Any], result: CallResult
    ) -> None:
        self._track(self._finish(name, version, value, result))

    def _track(self, coro: Coroutine[Any, Any, None]) -> None:
        task = self.ctx.spawn(coro)
        self.storing.add(task)
        task.add_done_callback(self.storing.discard)

    async def _settle(self, request_key: str, attempt: str, result: CallResult) -> None:
        name = claim_name(request_key)
        deadline = self.ctx.now() + SETTLE_BOUND_S
        assert self.api is not None
        for number in range(SETTLE_ATTEMPTS):
            if not await self._take_token(deadline):
                break
            match await self.api.get(KIND, name):
                case Ok(StoredObject(version=version, value=dict(found))):
                    if found.get("attempt") == attempt and "result" not in found:
                        await self._finish(name, version, found, result)
                    return
            # Without an object the create may still arrive.
            await asyncio.sleep(RETRY_S * 2**number)
        self.ctx.count("claims.platform_unsettled")

    def _follow_fleet(self) -> None:
        self.bucket.set_rate(self.rate_per_s(), self.ctx.now())

    async def _finish(
        self, name: str, version: int, value: dict[str, Any], result: CallResult
    ) -> None:
        assert self.api is not None
        released = isinstance(result, Refused) and result.outcome is Outcome.NOT_RUN
        stored = {**value, "result": value_from_result(result)}
        for number in range(FINISH_ATTEMPTS):
            if released:
                answer = await self.api.delete(KIND, name, version)
            else:
                answer = await self.api.put(KIND, name, stored, version)
            match answer:
                case Ok() | Err(Conflict()):
                    return
            await asyncio.sleep(RETRY_S * 2**number)
        log.warning("claim_outcome_not_stored", claim=name)

    def _is_old(self, obj: StoredObject) -> bool:
        try:
            claimed_ms = int(obj.value["claimed_ms"])
            domain = obj.value["domain"]
        except (KeyError, TypeError, ValueError):
            return False
        age_s = (self.ctx.wall_ms() - claimed_ms) / 1000
        bound_s = self.ctx.cfg.keys.retention_s + EXPIRY_MARGIN_S
        return age_s > (bound_s if domain == self.ctx.cfg.domain else 2 * bound_s)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S * self.ctx.rng.uniform(0.8, 1.2))
            if self.is_first_ranked():
                deleted = await self.expire_once()
                self.ctx.count("claims.platform_expired", deleted)


def _unknown(reason: str) -> Refused:
    return Refused(Outcome.UNKNOWN, reason)


def _text(error: PlatformError) -> str:
    return f"platform: {getattr(error, 'reason', type(error).__name__)}"
