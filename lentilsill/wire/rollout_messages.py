"""Messages of roll-outs, on control links."""

import msgspec

__all__ = ["RolloutReport", "RolloutRow", "RolloutState"]

# upstream, route, failures, answers without a time, and pairs of bucket and count
RolloutRow = tuple[str, str, int, int, tuple[tuple[int, int], ...]]


class RolloutReport(msgspec.Struct, frozen=True, array_like=True, tag=60):
    """Answers of a service's versions and the state of `source` in a roll-out.

    `source` is a node or, with `is_domain`, a domain. Rows are cumulative; a row
    without an upstream is of all versions but the target version. Without a service,
    the message asks for the states of all roll-outs, or ends the answer to that.
    """

    service: str
    identity: str = ""
    source: str = ""
    is_domain: bool = False
    stage: int = 0
    has_confirmed: bool = False
    rows: tuple[RolloutRow, ...] = ()


class RolloutState(msgspec.Struct, frozen=True, array_like=True, tag=61):
    """State of a roll-out; `age_ms` is the time since its order.

    `started_ms` is the time of the order by the clock of the node that first learned of
    it. `root` is as in `Delta`. A heartbeat shows that the sender knows no newer state.
    `shifting_age_ms` is the time since the shift began at the sender, 0 before it.
    """

    service: str
    identity: str
    target_version: str
    duration_ms: int
    position: int
    started_ms: int
    age_ms: int
    stage: int
    is_stored: bool
    reason: str = ""
    root: str = ""
    is_heartbeat: bool = False
    shifting_age_ms: int = 0
