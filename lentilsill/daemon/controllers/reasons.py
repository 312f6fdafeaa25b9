"""Refusal reasons that controllers distinguish."""

from lentilsill.outcomes import Outcome, Refused

__all__ = [
    "BUSY",
    "CONNECTION_LOST",
    "CRASHED",
    "CRASHED_IN_TRIAL",
    "LEAVING",
    "MISDIRECTED",
    "NODE_LEAVING",
    "NOT_READY",
    "NO_ROUTE",
    "NO_UPSTREAM",
    "OVERLOADED",
    "OVER_QUOTA",
    "QUARANTINED",
    "RATE_LIMITED",
    "REFUSED_BY_UPSTREAM",
    "RESET_BEFORE_REQUEST",
    "STARTUP_RETRY_S",
    "SUSPECTED",
    "UNKNOWN_KEY",
    "UNREACHABLE",
    "not_run_refusal",
]

# Reply to a slot probe. The call may still queue at this upstream or another one.
BUSY = "upstream has no free slot"
# The upstream or its connection failed, and the request may have been executed.
CONNECTION_LOST = "connection closed before the answer"
# The upstream failed during the call and no longer accepts connections. The request may
# have been executed.
CRASHED = "upstream died during the call"
# The upstream died as well when it ran only this call.
CRASHED_IN_TRIAL = "upstream died during the call, which ran alone"
# Another upstream would be at risk before the reports of the crash have arrived.
SUSPECTED = "request may have caused a crash"
QUARANTINED = "request is quarantined"
LEAVING = "upstream is leaving"
# Another process now listens on the address of the upstream.
MISDIRECTED = "address belongs to another upstream"
NO_ROUTE = "no route"
NODE_LEAVING = "node is leaving"
NOT_READY = "node is not ready"
NO_UPSTREAM = "no upstream is ready"
OVERLOADED = "too many calls"
OVER_QUOTA = "organisation is over its quota"
UNKNOWN_KEY = "API key is unknown"
RATE_LIMITED = "upstream takes no more calls a second"
REFUSED_BY_UPSTREAM = "upstream refused the call"
# Prefix of reasons that count as a failure of the upstream or its host.
UNREACHABLE = "unreachable: "
# The upstream runs, and closed the connection before the request was sent.
RESET_BEFORE_REQUEST = f"{UNREACHABLE}connection was closed before the request"
# A starting node has its documents and peers within about this time.
STARTUP_RETRY_S = 0.3


def not_run_refusal(reason: str, retry_after_s: float = 0.0) -> Refused:
    """Return a refusal for a call that was not executed."""
    return Refused(Outcome.NOT_RUN, reason, retry_after_s)
