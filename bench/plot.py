"""Draws how the values in JSON lines on standard input grow with the node count.

For each measure and variant (label ``way``) with several node counts, the text output
has a bar per node count and the least-squares slope per node.
"""

import json
import sys
from collections import defaultdict
from collections.abc import Iterable

__all__ = ["draw_bars", "fit_line", "main"]

MAX_BAR_CHARS = 40


def fit_line(points: dict[int, float]) -> tuple[float, float]:
    """Return the least-squares slope per node and the value at 0 nodes.

    Examples
    --------
    >>> fit_line({6: 13.0, 18: 37.0})
    (2.0, 1.0)
    """
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    sum_of_squares = sum((x - mean_x) ** 2 for x in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points.items()) / sum_of_squares
    return slope, mean_y - slope * mean_x


def draw_bars(lines: Iterable[str]) -> list[str]:
    """Return the lines of the plot; input lines that aren't JSON are skipped."""
    series: dict[tuple[str, str, str], dict[int, float]] = defaultdict(dict)
    for line in lines:
        if line.startswith("{"):
            row = json.loads(line)
            key = (row["measure"], row.get("way", ""), row["unit"])
            series[key][row.get("nodes", 0)] = row["value"]
    output = []
    for (measure, variant, unit), points in sorted(series.items()):
        if len(points) < 2:
            continue
        slope, intercept = fit_line(points)
        output.append(
            f"{measure} {variant}: {intercept:.4g} + {slope:.4g} per node ({unit})"
        )
        largest = max(map(abs, points.values())) or 1.0
        for nodes, value in sorted(points.items()):
            bar = "#" * round(MAX_BAR_CHARS * abs(value) / largest)
            output.append(f"  {nodes:4} {bar:<{MAX_BAR_CHARS}} {value:.4g}")
    return output


def main() -> None:
    """Plot the JSON lines of standard input."""
    print("\n".join(draw_bars(sys.stdin)))


if __name__ == "__main__":
    main()
