"""Line numbers of values in JSON with comments."""

import json
import re
from collections.abc import Iterator

__all__ = ["line_of", "value_lines"]

_TOKEN = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|/\*.*?\*/)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,/"']+)""",
    re.DOTALL | re.VERBOSE,
)


def value_lines(text: str) -> dict[str, int]:
    """Map the path of each value to the line of its key or its start.

    Examples
    --------
    >>> value_lines('{"a": 1,\\n "b": [2,\\n {"c": 3}]}')
    {'': 1, 'a': 1, 'b': 2, 'b[0]': 2, 'b[1]': 3, 'b[1].c': 3}
    """
    lines: dict[str, int] = {}
    stack: list[tuple[str, int]] = []  # prefix, index in an array or -1
    path = ""
    previous: tuple[str, int] = ("", 1)
    for token, line in _tokens(text):
        if token == ":" and stack:
            path = f"{stack[-1][0]}.{_key(previous[0])}".removeprefix(".")
            lines[path] = previous[1]
        elif token == "," and stack and stack[-1][1] >= 0:
            prefix, index = stack[-1]
            stack[-1] = (prefix, index + 1)
            path = f"{prefix}[{index + 1}]"
        elif token in "}]" and stack:
            stack.pop()
        elif token not in "},]":
            if not stack or stack[-1][1] >= 0:
                lines.setdefault(path, line)
            if token in "{[":
                stack.append((path, 0 if token == "[" else -1))
                path = f"{path}[0]" if token == "[" else path
        previous = (token, line)
    return lines


def line_of(lines: dict[str, int], place: str) -> int:
    """Give the line of `place` or of its nearest parent; 0 when unknown.

    Examples
    --------
    >>> line_of({"": 1, "limits": 4}, "limits.slots")
    4
    """
    while place and place not in lines:
        place = place[: max(place.rfind("."), place.rfind("["), 0)]
    return lines.get(place, 0)


def _tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    position = 0
    while match := _TOKEN.match(text, position):
        if match.lastgroup != "skip":
            yield match.group(), line
        line += match.group().count("\n")
        position = match.end()


def _key(token: str) -> str:
    return json.loads(token) if token.startswith('"') else token.strip("'")
