"""Admission of calls to the slots and the queue of an upstream.

An upstream runs one call in each of its slots; further calls wait in its queue. A call
that is answered within its latency objective is on time, and otherwise late. At its
deadline it ends without an answer. Calls of one kind have similar service times.
"""

from .actions import Refuse, Start
from .ages import CallAges
from .call_chains import CallChains
from .inner_slots import InnerSlots
from .notice import Notice, newer_notice
from .pace import HostPace
from .queue import AdmissionQueue
from .rate_limit import RateLimiter, parse_limit
from .shares import FairShares
from .usage import KindUsage, SlotUsage, UsageReport

__all__ = [
    "AdmissionQueue",
    "CallAges",
    "CallChains",
    "FairShares",
    "HostPace",
    "InnerSlots",
    "KindUsage",
    "Notice",
    "RateLimiter",
    "Refuse",
    "SlotUsage",
    "Start",
    "UsageReport",
    "newer_notice",
    "parse_limit",
]
