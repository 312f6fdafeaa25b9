"""Which services wait for the calls of a service."""

from collections.abc import Iterable

__all__ = ["CallChains"]

# A cycle of services is forgotten after this time without inner calls.
MEMORY_S = 10.0
# Bound on the bytes that an inner call carries. Calls are nested up to 17 deep.
MAX_SERVICES = 32


class CallChains:
    """Services with running calls that wait, over any number of calls, for a service.

    An inner call names the service that made it and the services that had waited for
    that one recently. A service that finds itself among those named is in a cycle.
    Nothing else needs to be exchanged: names spread along the calls themselves.

    Examples
    --------
    >>> chains = CallChains()
    >>> chains.record(("front", "second"), now=0.0)
    >>> chains.waiting_services(["third"], now=1.0)
    ('third', 'front', 'second')
    >>> chains.waiting_services(["third"], now=11.0)
    ('third',)
    """

    def __init__(self) -> None:
        self._seen_at: dict[str, float] = {}

    def record(self, waiting_services: Iterable[str], now: float) -> None:
        """Record an inner call of this upstream with the services that it names."""
        for service in waiting_services:
            if service in self._seen_at or len(self._seen_at) < MAX_SERVICES:
                self._seen_at[service] = now

    def waiting_services(self, services: Iterable[str], now: float) -> tuple[str, ...]:
        """Return what a call names that a running call of one of `services` makes."""
        for name, seen_at in list(self._seen_at.items()):
            if now - seen_at > MEMORY_S:
                del self._seen_at[name]
        names = dict.fromkeys((*services, *self._seen_at))
        return tuple(names)[:MAX_SERVICES]
