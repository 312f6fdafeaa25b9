"""Line-based patches between two texts."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice

import xxhash

__all__ = ["LineRange", "PatchError", "TextPatch", "apply_patch", "make_patch"]

# Index of the first line that is copied from the base, and the number of lines.
LineRange = tuple[int, int]


class PatchError(ValueError):
    """A patch does not apply to the given base."""


@dataclass(frozen=True, slots=True)
class TextPatch:
    """Parts of a text: line ranges of the base, and strings of new lines.

    `text_hash` is the 64-bit hash of the resulting text.
    """

    parts: tuple[LineRange | str, ...]
    text_hash: int


def make_patch(base: Sequence[str], lines: Sequence[str]) -> TextPatch:
    """Return the patch that turns the lines of `base` into `lines`.

    Time and memory are linear in both. Lines that moved are copied too. Where the
    base has equal lines, the one right after the last copied line is preferred.

    Examples
    --------
    >>> make_patch(["a", "b", "c", "d"], ["a", "b", "x", "d"]).parts
    ((0, 2), 'x', (3, 1))
    """
    first_indices: dict[str, int] = {}
    for index, line in enumerate(base):
        first_indices.setdefault(line, index)
    parts: list[LineRange | str] = []
    start, count = 0, 0
    new_lines: list[str] = []
    for line in lines:
        next_index = start + count
        if count and next_index < len(base) and base[next_index] == line:
            count += 1
            continue
        if count:
            parts.append((start, count))
            count = 0
        if line not in first_indices:
            new_lines.append(line)
            continue
        if new_lines:
            parts.append("\n".join(new_lines))
            new_lines = []
        start, count = first_indices[line], 1
    if count:
        parts.append((start, count))
    if new_lines:
        parts.append("\n".join(new_lines))
    return TextPatch(tuple(parts), _hash("\n".join(lines)))


def apply_patch(base: Sequence[str], patch: TextPatch) -> list[str]:
    """Return the lines that result from applying `patch` to `base`.

    Raises
    ------
    PatchError
        The result is not the text that the patch was made for.

    Examples
    --------
    >>> patch = make_patch(["a", "b"], ["b", "c"])
    >>> apply_patch(["a", "b"], patch)
    ['b', 'c']
    >>> apply_patch(["a", "z"], patch)
    Traceback (most recent call last):
        ...
    lentilsill.distribution.patch.PatchError: the result has a different hash
    """
    lines: list[str] = []
    for part in patch.parts:
        match part:
            case str():
                lines += part.split("\n")
            case (start, count):
                if start < 0 or count < 0 or start + count > len(base):
                    raise PatchError(f"lines {start}+{count} are outside the base")
                lines += islice(base, start, start + count)
    if _hash("\n".join(lines)) != patch.text_hash:
        raise PatchError("the result has a different hash")
    return lines


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))
