"""Line numbers of the values in JSON with comments."""

import json
import re
from collections.abc import Iterator

__all__ = ["find_line", "find_value_lines"]

_TOKEN = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|/\*.*?\*/)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,/"']+)""",
    re.DOTALL | re.VERBOSE,
)


def find_value_lines(text: str) -> dict[str, int]:
    """Map the path of each value to the line of its key, or of its first token.

    Examples
    --------
    >>> find_value_lines('{"a": 1,\\n "b": [2,\\n {"c": 3}]}')
    {'': 1, 'a': 1, 'b': 2, 'b[0]': 2, 'b[1]': 3, 'b[1].c': 3}
    """
    lines: dict[str, int] = {}
    # (path, index) of each open container; the index of an object is -1.
    stack: list[tuple[str, int]] = []
    path = ""
    previous: tuple[str, int] = ("", 1)
    for token, line in _tokenize(text):
        if token == ":" and stack:
            path = f"{stack[-1][0]}.{_parse_key(previous[0])}".removeprefix(".")
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


def find_line(lines: dict[str, int], path: str) -> int:
    """Return the line of `path`, or of its nearest known ancestor; 0 if unknown.

    Examples
    --------
    >>> find_line({"": 1, "limits": 4}, "limits.slots")
    4
    """
    while path and path not in lines:
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return lines.get(path, 0)


def _tokenize(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    position = 0
    while match := _TOKEN.match(text, position):
        if match.lastgroup != "skip":
            yield match.group(), line
        line += match.group().count("\n")
        position = match.end()


def _parse_key(token: str) -> str:
    return json.loads(token) if token.startswith('"') else token.strip("'")
