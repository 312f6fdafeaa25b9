"""The newest text of an object, and those before it as bases of patches."""

from .patch import TextPatch, apply_patch, make_patch

__all__ = ["TextVersions"]

# A node that missed some pushes is a few versions behind. Versions share the lines that
# they have in common, so that one more takes about 20 KB with 2,600 routes.
KEPT_VERSIONS = 8
# A patch that is not much shorter than the text is not worth a missing base.
WORTHWHILE_SHARE = 0.5


class TextVersions:
    """Texts by version, higher ones newer.

    Examples
    --------
    >>> here, there = TextVersions(), TextVersions()
    >>> here.add(1, "a\\nb\\nc"), there.add(1, "a\\nb\\nc"), here.add(2, "a\\nb\\nd")
    (True, True, True)
    >>> there.add_patch(2, 1, here.patch_from(1)), there.text
    (True, 'a\\nb\\nd')
    """

    def __init__(self) -> None:
        self._lines: dict[int, list[str]] = {}
        self.version = 0
        self.text = ""

    def add(self, version: int, text: str) -> bool:
        """Keep a text; False when its version is not newer."""
        if version <= self.version:
            return False
        # Equal lines of two versions become one object, or each would be kept whole.
        known = {line: line for line in self._lines.get(self.version, ())}
        lines = [known.get(line, line) for line in text.split("\n")]
        self._keep(version, text, lines)
        return True

    def add_patch(self, version: int, base: int, patch: TextPatch) -> bool:
        """Keep the text that a patch gives; False when it is not newer.

        Raises
        ------
        PatchError
            The result is not the text that the patch was made for.
        """
        if version <= self.version or base != self.version:
            return False
        lines = apply_patch(self._lines[base], patch)
        self._keep(version, "\n".join(lines), lines)
        return True

    def patch_from(self, base: int) -> TextPatch | None:
        """Give the patch from a kept version to the newest, if it is worthwhile."""
        lines = self._lines.get(base)
        if lines is None or base == self.version:
            return None
        patch = make_patch(lines, self._lines[self.version])
        size = sum(len(part) for part in patch.parts if isinstance(part, str))
        return patch if size < WORTHWHILE_SHARE * len(self.text) else None

    def _keep(self, version: int, text: str, lines: list[str]) -> None:
        self._lines[version] = lines
        self.version, self.text = version, text
        if len(self._lines) > KEPT_VERSIONS:
            del self._lines[next(iter(self._lines))]
