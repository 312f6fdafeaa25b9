"""Claims of caller-supplied request keys, stored in the platform."""

import asyncio
import hashlib
from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from result import Err, Ok

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import KeyGranted
from lentilsill.outcomes import (
    CallResult,
    Outcome,
    RecentClaims,
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
from lentilsill.versioning import era_of

from .claim_messages import result_from_value, value_from_result

__all__ = ["PlatformClaims", "claim_object_name"]

CLAIM_KIND = "claim"
EXPIRY_INTERVAL_S = 60.0
EXPIRY_MARGIN_S = 300.0
"""Covers the clock offset between the nodes that claim and expire an object."""
MAX_DELETES_PER_PASS = 500
FIRST_POLL_DELAY_S = 0.1
MAX_POLL_DELAY_S = 1.0
RETRY_DELAY_S = 0.1
MAX_FINISH_ATTEMPTS = 5
MAX_SETTLE_ATTEMPTS = 4
LOSS_DOUBT_S = 5.0
"""Time after a loss of writes by the store in which nodes store their claims again."""
SETTLE_TIMEOUT_S = 20.0
"""A claim that the rate limit keeps unsettled for this time stays until it expires."""
LOST_WRITES = "the platform's store has lost writes"
NOT_RUN = Refused(Outcome.NOT_RUN, "attempt ended before it was granted")

log = structlog.get_logger()


def claim_object_name(request_key: str) -> str:
    """Return the object name for a key, which may contain any characters.

    Examples
    --------
    >>> len(claim_object_name("order 17"))
    40
    """
    return hashlib.blake2b(request_key.encode(), digest_size=20).hexdigest()


class PlatformClaims:
    """Claims keys by the conditional create of one object for each key.

    An object is deleted when its claim is older than the retention time plus a
    margin. A key is executed at most once within the retention time of its
    claim, and a refusal ``not_run`` refers to that time.

    When the platform's store has come back from an older copy, each node stores the
    claims again that it stored lately, and refuses new ones meanwhile. A key whose
    node was lost in that time can be executed a second time.
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
        self._recent = RecentClaims()
        self._in_doubt_until_s = float("-inf")
        self._granted_objects: dict[str, tuple[int, dict[str, Any]]] = {}
        self.pending_writes: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Adapt the claim rate to the fleet size and start the expiry of claims."""
        self.ctx.board.subscribe(Topic.MEMBERS, self._update_rate)
        self.ctx.board.subscribe(Topic.STORE_ERA, self._store_again)
        if self.api is not None:
            self.ctx.spawn(self._expire_forever())

    async def claim(
        self, request_key: str, attempt: str, fingerprint: str, timeout_s: float
    ) -> KeyGranted | CallResult:
        """Claim a key, or return its recorded result or a refusal."""
        if self.api is None:
            return Refused(Outcome.UNKNOWN, "no platform for caller-supplied keys")
        if self.ctx.now() < self._in_doubt_until_s:
            return _refuse_as_unknown(LOST_WRITES)
        deadline = self.ctx.now() + timeout_s
        if not await self._take_token(deadline):
            # The object is not read either: the limit protects the platform.
            return _refuse_as_unknown("claim rate limit")
        value = {
            "attempt": attempt,
            "fingerprint": fingerprint,
            "domain": self.ctx.cfg.domain,
            "claimed_ms": self.ctx.wall_ms(),
        }
        try:
            return await self._create(request_key, value, deadline)
        except asyncio.CancelledError:
            # The create may still take effect, but its attempt will never run.
            self.settle(request_key, attempt, NOT_RUN)
            raise

    def finish(self, request_key: str, attempt: str, result: CallResult) -> None:
        """Store the result, or delete the claim of an attempt that did not run."""
        granted = self._granted_objects.pop(attempt, None)
        if granted is not None and self.api is not None:
            self._start_write(claim_object_name(request_key), *granted, result)

    def settle(self, request_key: str, attempt: str, result: CallResult) -> None:
        """Read the version of the claim from the platform, then store the result.

        This serves attempts that will not run and whose create has no known
        answer, and results whose entry node is gone.
        """
        if self.api is not None:
            self._track(self._settle(request_key, attempt, result))

    def rate_per_s(self) -> float:
        """Return this node's share of the claim rate of the fleet."""
        board = self.ctx.board
        domains = {rec.domain for rec in board.remote_nodes.values()}
        domains.add(self.ctx.cfg.domain)
        total = self.ctx.cfg.platform.fleet_claims_per_s
        return node_claim_rate(total, len(domains), len(board.members))

    async def expire_once(self) -> int:
        """Delete claims past the retention time plus margin; return their number.

        Claims of other domains are deleted after twice that time, so that each
        domain deletes its own claims as long as it has a node.
        """
        assert self.api is not None
        match await self.api.list(CLAIM_KIND):
            case Err():
                return 0
            case Ok(listing):
                expired = [obj for obj in listing.objects if self._is_expired(obj)]
        deleted = 0
        for obj in expired[:MAX_DELETES_PER_PASS]:
            match await self.api.delete(CLAIM_KIND, obj.name, obj.version):
                case Ok():
                    deleted += 1
                case Err(Conflict()):
                    pass
                case Err():
                    break
        return deleted

    async def _create(
        self, request_key: str, value: dict[str, Any], deadline: float
    ) -> KeyGranted | CallResult:
        assert self.api is not None
        name = claim_object_name(request_key)
        has_lost_answer = False
        while True:
            match await self.api.put(CLAIM_KIND, name, value, 0):
                case Ok(version):
                    return self._grant(request_key, value, version, deadline)
                case Err(Conflict()):
                    outcome = await self._resolve_existing(request_key, value, deadline)
                    if outcome is not None:
                        return outcome
                    pause_s = RETRY_DELAY_S
                case Err(AnswerLost()):
                    has_lost_answer = True
                    pause_s = RETRY_DELAY_S
                case Err(RateLimited(retry_after_s)):
                    pause_s = retry_after_s
                case Err(error):
                    return await self._refuse_claim(
                        request_key, value, has_lost_answer, _platform_reason(error)
                    )
            # A create without an answer may still take effect, so a read decides
            # only when the object exists; otherwise the create is sent again.
            if has_lost_answer:
                outcome = await self._resolve_existing(request_key, value, deadline)
                if outcome is not None:
                    return outcome
            if self.ctx.now() + pause_s >= deadline:
                reason = "no answer of the platform in time"
                return await self._refuse_claim(
                    request_key, value, has_lost_answer, reason
                )
            await asyncio.sleep(pause_s)

    async def _resolve_existing(
        self, request_key: str, value: dict[str, Any], deadline: float
    ) -> KeyGranted | CallResult | None:
        """Decide by the existing object, and wait while its holder is alive.

        Returns None when no object exists, or when it has been deleted.
        """
        assert self.api is not None
        name = claim_object_name(request_key)
        poll_s = FIRST_POLL_DELAY_S
        while True:
            match await self.api.get(CLAIM_KIND, name):
                case Ok(StoredObject(version=version, value=dict(existing))):
                    if existing.get("attempt") == value["attempt"]:
                        return self._grant(request_key, value, version, deadline)
                    if existing.get("fingerprint") != value["fingerprint"]:
                        return _refuse_as_unknown("key was used for another request")
                    result = result_from_value(existing.get("result"))
                    if result is not None:
                        return result
                    if not self.is_alive(str(existing.get("attempt"))):
                        return _refuse_as_unknown("key held by an attempt that ended")
                case Ok(None):
                    return None
                case Ok():
                    return _refuse_as_unknown("claim object is malformed")
                case Err(error):
                    return _refuse_as_unknown(_platform_reason(error))
            if self.ctx.now() + poll_s >= deadline:
                return _refuse_as_unknown("key held by another attempt")
            await asyncio.sleep(poll_s * self.ctx.rng.uniform(0.5, 1.0))
            poll_s = min(poll_s * 2, MAX_POLL_DELAY_S)

    def _grant(
        self, request_key: str, value: dict[str, Any], version: int, deadline: float
    ) -> KeyGranted | CallResult:
        name = claim_object_name(request_key)
        if self.ctx.now() >= deadline:
            # An attempt that starts late could outlive its claim object.
            refused = Refused(Outcome.NOT_RUN, "claimed too late to run")
            self._start_write(name, version, value, refused)
            return refused
        era = self.ctx.board.store_era
        if era and era_of(version) != era:
            # Another node may have stored a claim that the store has lost.
            self._start_write(name, version, value, NOT_RUN)
            return _refuse_as_unknown(LOST_WRITES)
        self._recent.add(name, value, self.ctx.now())
        self._granted_objects[value["attempt"]] = (version, value)
        return KeyGranted()

    async def _refuse_claim(
        self,
        request_key: str,
        value: dict[str, Any],
        has_lost_answer: bool,
        reason: str,
    ) -> Refused:
        """Refuse a claim; ``not_run`` when the platform shows that none exists."""
        assert self.api is not None
        self.ctx.count("claims.platform_refused")
        if has_lost_answer:
            self.settle(request_key, value["attempt"], NOT_RUN)
        else:
            match await self.api.get(CLAIM_KIND, claim_object_name(request_key)):
                case Ok(None):
                    return Refused(Outcome.NOT_RUN, reason)
        return _refuse_as_unknown(reason)

    async def _take_token(self, deadline: float) -> bool:
        while (wait_s := self.bucket.take_token(self.ctx.now())) > 0:
            if self.ctx.now() + wait_s >= deadline:
                return False
            await asyncio.sleep(wait_s)
        return True

    def _start_write(
        self, name: str, version: int, value: dict[str, Any], result: CallResult
    ) -> None:
        self._track(self._write_result(name, version, value, result))

    def _track(self, coro: Coroutine[Any, Any, None]) -> None:
        task = self.ctx.spawn(coro)
        self.pending_writes.add(task)
        task.add_done_callback(self.pending_writes.discard)

    async def _settle(self, request_key: str, attempt: str, result: CallResult) -> None:
        name = claim_object_name(request_key)
        deadline = self.ctx.now() + SETTLE_TIMEOUT_S
        assert self.api is not None
        for retry in range(MAX_SETTLE_ATTEMPTS):
            if not await self._take_token(deadline):
                break
            match await self.api.get(CLAIM_KIND, name):
                case Ok(StoredObject(version=version, value=dict(existing))):
                    if existing.get("attempt") == attempt and "result" not in existing:
                        await self._write_result(name, version, existing, result)
                    return
            # No object was found, but the create may still take effect.
            await asyncio.sleep(RETRY_DELAY_S * 2**retry)
        self.ctx.count("claims.platform_unsettled")

    def _update_rate(self) -> None:
        self.bucket.set_rate(self.rate_per_s(), self.ctx.now())

    async def _write_result(
        self, name: str, version: int, value: dict[str, Any], result: CallResult
    ) -> None:
        assert self.api is not None
        is_released = isinstance(result, Refused) and result.outcome is Outcome.NOT_RUN
        stored = {**value, "result": value_from_result(result)}
        for retry in range(MAX_FINISH_ATTEMPTS):
            if is_released:
                answer = await self.api.delete(CLAIM_KIND, name, version)
            else:
                answer = await self.api.put(CLAIM_KIND, name, stored, version)
            match answer:
                case Ok():
                    if is_released:
                        self._recent.remove(name)
                    else:
                        self._recent.add(name, stored, self.ctx.now())
                    return
                case Err(Conflict()):
                    if not is_released and era_of(version) != self.ctx.board.store_era:
                        await self._store_one(name, stored)
                    return
            await asyncio.sleep(RETRY_DELAY_S * 2**retry)
        log.warning("claim_outcome_not_stored", claim=name)

    def _store_again(self) -> None:
        """Store recent claims again, as the store may have lost them."""
        self._in_doubt_until_s = self.ctx.now() + LOSS_DOUBT_S
        if self.api is not None:
            self._track(self._store_recent())

    async def _store_recent(self) -> None:
        assert self.api is not None
        deadline = self.ctx.now() + SETTLE_TIMEOUT_S
        for name, value in self._recent.since(self.ctx.now()):
            if not await self._take_token(deadline):
                log.warning("claims_not_stored_again")
                return
            await self._store_one(name, value)

    async def _store_one(self, name: str, value: dict[str, Any]) -> None:
        """Store a claim if there is none, or only the same one without a result."""
        assert self.api is not None
        match await self.api.get(CLAIM_KIND, name):
            case Ok(None):
                await self.api.put(CLAIM_KIND, name, value, 0)
                self.ctx.count("claims.stored_again")
            case Ok(StoredObject(version=version, value=dict(existing))):
                is_same = existing.get("attempt") == value["attempt"]
                if is_same and "result" in value and "result" not in existing:
                    await self.api.put(CLAIM_KIND, name, value, version)

    def _is_expired(self, obj: StoredObject) -> bool:
        try:
            claimed_ms = int(obj.value["claimed_ms"])
            domain = obj.value["domain"]
        except (KeyError, TypeError, ValueError):
            return False
        age_s = (self.ctx.wall_ms() - claimed_ms) / 1000
        max_age_s = self.ctx.cfg.keys.retention_s + EXPIRY_MARGIN_S
        return age_s > (max_age_s if domain == self.ctx.cfg.domain else 2 * max_age_s)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S * self.ctx.rng.uniform(0.8, 1.2))
            if self.is_first_ranked():
                deleted = await self.expire_once()
                self.ctx.count("claims.platform_expired", deleted)


def _refuse_as_unknown(reason: str) -> Refused:
    return Refused(Outcome.UNKNOWN, reason)


def _platform_reason(error: PlatformError) -> str:
    return f"platform: {getattr(error, 'reason', type(error).__name__)}"
