"""Choice of the idle links that make room for another link."""

from collections.abc import Callable, Mapping
from typing import TypeVar

from .link import Link

__all__ = ["select_idle"]

K = TypeVar("K")


def select_idle(
    links: Mapping[K, Link],
    count: int,
    used_before_s: float,
    is_awaiting_answer: Callable[[Link], bool],
) -> list[K]:
    """Return the keys of up to `count` idle links, least recently used first."""
    idle = [
        key
        for key, link in links.items()
        if link.last_used_s < used_before_s
        and not link.stream.writing()
        and not is_awaiting_answer(link)
    ]
    return sorted(idle, key=lambda key: links[key].last_used_s)[:count]
