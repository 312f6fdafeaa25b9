"""Draws the slopes of JSON lines on standard input as text.

For each measure and way with several node counts: a bar per node count, and the
least-squares slope per node.
"""

import json
import sys
from collections import defaultdict
from collections.abc import Iterable

__all__ = ["draw", "main", "slope"]

WIDTH = 40


def slope(points: dict[int, float]) -> tuple[float, float]:
    """Give the least-squares slope per node and the value at 0 nodes.

    Examples
    --------
    >>> slope({6: 13.0, 18: 37.0})
    (2.0, 1.0)
    """
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    spread = sum((x - mean_x) ** 2 for x in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points.items()) / spread
    return rise, mean_y - rise * mean_x


def draw(lines: Iterable[str]) -> list[str]:
    """Give the lines of the drawing; lines that are no JSON are left out."""
    series: dict[tuple[str, str, str], dict[int, float]] = defaultdict(dict)
    for text in lines:
        if text.startswith("{"):
            line = json.loads(text)
            key = (line["measure"], line.get("way", ""), line["unit"])
            series[key][line.get("nodes", 0)] = line["value"]
    drawn = []
    for (measure, way, unit), points in sorted(series.items()):
        if len(points) < 2:
            continue
        rise, base = slope(points)
        drawn.append(f"{measure} {way}: {base:.4g} + {rise:.4g} per node ({unit})")
        top = max(map(abs, points.values())) or 1.0
        for nodes, value in sorted(points.items()):
            bar = "#" * round(WIDTH * abs(value) / top)
            drawn.append(f"  {nodes:4} {bar:<{WIDTH}} {value:.4g}")
    return drawn


def main() -> None:
    """Draw what comes on standard input."""
    print("\n".join(draw(sys.stdin)))


if __name__ == "__main__":
    main()
