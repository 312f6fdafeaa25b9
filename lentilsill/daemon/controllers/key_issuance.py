"""Issuance of request keys."""

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import IssuedKeys
from lentilsill.membership import NodeState
from lentilsill.outcomes import issue_key

__all__ = ["make_keys"]

MAX_KEYS_PER_REQUEST = 1000


def make_keys(ctx: Context, count: int) -> IssuedKeys:
    """Make keys that name ready live nodes of the local domain.

    Each key names this node when it is ready and not draining. No keys are made
    when no node is ready.
    """
    now_ms = ctx.wall_ms()
    own_instance = ctx.links.identity.instance
    others = [
        rec.instance
        for rec in ctx.board.members.values()
        if rec.state is NodeState.READY
        and rec.domain == ctx.cfg.domain
        and rec.instance != own_instance
    ]
    own_instances = [] if ctx.board.draining or not ctx.board.ready else [own_instance]
    max_others = ctx.cfg.keys.replicas - len(own_instances)
    keys = []
    for _ in range(min(count, MAX_KEYS_PER_REQUEST) if own_instances or others else 0):
        instances = own_instances + ctx.rng.sample(others, min(max_others, len(others)))
        nonce = f"{ctx.rng.getrandbits(64):016x}"
        keys.append(issue_key(ctx.cfg.domain, now_ms, instances, nonce))
    retention_ms = int(ctx.cfg.keys.retention_s * 1000)
    return IssuedKeys(tuple(keys), now_ms + retention_ms)
