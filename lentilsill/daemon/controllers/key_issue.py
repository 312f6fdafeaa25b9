"""Issue of request keys."""

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import IssuedKeys
from lentilsill.membership import NodeState
from lentilsill.outcomes import issue_key

__all__ = ["make_keys"]

MAX_KEYS_PER_REQUEST = 1000


def make_keys(ctx: Context, count: int) -> IssuedKeys:
    """Make keys that name ready live nodes of the own domain.

    This node is one of them unless it is draining. No keys are made when no
    node is ready.
    """
    now_ms = ctx.wall_ms()
    me = ctx.links.identity.instance
    others = [
        rec.instance
        for rec in ctx.board.members.values()
        if rec.state is NodeState.READY
        and rec.domain == ctx.cfg.domain
        and rec.instance != me
    ]
    own = [] if ctx.board.draining or not ctx.board.ready else [me]
    room = ctx.cfg.keys.replicas - len(own)
    keys = []
    for _ in range(min(count, MAX_KEYS_PER_REQUEST) if own or others else 0):
        chosen = own + ctx.rng.sample(others, min(room, len(others)))
        nonce = f"{ctx.rng.getrandbits(64):016x}"
        keys.append(issue_key(ctx.cfg.domain, now_ms, chosen, nonce))
    retention_ms = int(ctx.cfg.keys.retention_s * 1000)
    return IssuedKeys(tuple(keys), now_ms + retention_ms)
