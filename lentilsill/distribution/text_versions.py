"""The newest text of an object, and earlier ones as bases of patches."""

import sys

from .patch import TextPatch, apply_patch, make_patch

__all__ = ["TextVersions"]

# A node that missed some pushes is a few versions behind. Versions share the string
# objects of equal lines: a further version takes about 20 KB with 2,600 routes.
KEPT_VERSIONS = 8
# The receiver may lack the base of a patch. A patch that is not much shorter than the
# text does not justify that risk.
MAX_PATCH_SHARE = 0.5


class TextVersions:
    """Texts of an object by version; the caller decides which version is the newest.

    Examples
    --------
    >>> local, peer = TextVersions(), TextVersions()
    >>> for versions in (local, peer):
    ...     versions.keep(1, "a\\nb\\nc")
    >>> local.keep(2, "a\\nb\\nd")
    >>> peer.keep(2, peer.patched(local.patch_from(1)))
    >>> peer.text
    'a\\nb\\nd'
    """

    def __init__(self) -> None:
        self._lines: dict[int, list[str]] = {}
        self.version = 0
        self.text = ""

    def keep(self, version: int, text: str) -> None:
        """Store a text as that of the newest version."""
        # Versions, and others that hold interned lines, share the memory of equal ones.
        self._lines[version] = [sys.intern(line) for line in text.split("\n")]
        self.version, self.text = version, text
        if len(self._lines) > KEPT_VERSIONS:
            del self._lines[next(iter(self._lines))]

    def patched(self, patch: TextPatch) -> str:
        """Return the text that results from a patch of the newest version.

        Raises
        ------
        PatchError
            The result is not the text that the patch was made for.
        """
        return "\n".join(apply_patch(self._lines[self.version], patch))

    def patch_from(self, base: int) -> TextPatch | None:
        """Return the patch from version `base` to the newest one.

        The result is None when `base` is not kept or is the newest version, or when
        the patch is not much shorter than the text.
        """
        lines = self._lines.get(base)
        if lines is None or base == self.version:
            return None
        patch = make_patch(lines, self._lines[self.version])
        size = sum(len(part) for part in patch.parts if isinstance(part, str))
        return patch if size < MAX_PATCH_SHARE * len(self.text) else None
