"""Leases of pledges, and when they are renewed."""

__all__ = ["PIGGYBACK_SHARE", "RENEW_SHARE", "lease_s"]

# How long a pledge lasts, in systems of up to `NODES_PER_LEASE_S` nodes. An allocator
# gets a request per node and third of a lease, so larger systems use longer ones.
LEASE_S = 1.0
NODES_PER_LEASE_S = 200
# A renewal echoes the time stamp of the one before; it must arrive before the pledge of
# that one ends, also when the timer is late.
RENEW_SHARE = 0.35
# Pledges are sent along with other requests after this share of the lease.
PIGGYBACK_SHARE = 0.2


def lease_s(node_count: int) -> float:
    """Return how long a pledge lasts in a system of this many nodes.

    Examples
    --------
    >>> lease_s(66), lease_s(4600)
    (1.0, 23.0)
    """
    return max(LEASE_S, node_count / NODES_PER_LEASE_S)
