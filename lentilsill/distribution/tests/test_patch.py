"""A patch results in exactly the text that it was made for, or is rejected."""

import unittest

from hypothesis import given, strategies as st

from lentilsill.distribution import (
    PatchError,
    TextPatch,
    TextVersions,
    apply_patch,
    make_patch,
)

LINES = st.lists(st.sampled_from("abcdef"), max_size=12)


class PatchTests(unittest.TestCase):
    @given(LINES, LINES)
    def test_patch_results_in_the_lines_that_it_was_made_for(self, base, lines):
        """Guards against a configuration that no operator wrote (G3)."""
        found = apply_patch(base, make_patch(base, lines))
        self.assertEqual("\n".join(found), "\n".join(lines))

    def test_patch_on_another_base_is_refused(self):
        """Guards against a configuration that mixes two versions (G3)."""
        patch = make_patch(["a", "b", "c"], ["a", "x", "c"])
        with self.assertRaises(PatchError):
            apply_patch(["a", "b", "d"], patch)
        with self.assertRaises(PatchError):
            apply_patch(["a"], patch)

    def test_patch_with_ranges_outside_of_the_base_is_refused(self):
        """Guards against an invalid message from a peer that makes the handler fail."""
        for part in ((-1, 1), (0, -1), (0, 9)):
            with self.assertRaises(PatchError):
                apply_patch(["a"], TextPatch((part,), 0))

    def test_patch_size_depends_on_the_change(self):
        """Guards against a small change that is sent as the whole configuration."""
        base = [f"route {number}" for number in range(2600)]
        lines = [*base[:1300], "changed", *base[1301:]]
        self.assertEqual(
            make_patch(base, lines).parts, ((0, 1300), "changed", (1301, 1299))
        )


class TextVersionsTests(unittest.TestCase):
    def setUp(self):
        self.versions = TextVersions()
        same = "same\n" * 50
        for version in range(1, 13):
            self.versions.keep(version, f"{same}v{version}")

    def test_number_of_kept_versions_is_bounded(self):
        """Guards against memory that grows with the number of changes."""
        self.assertIsNone(self.versions.patch_from(4))
        self.assertIsNotNone(self.versions.patch_from(5))

    def test_patch_of_another_text_is_refused(self):
        """Guards against a text that no operator wrote (G3)."""
        with self.assertRaises(PatchError):
            self.versions.patched(TextPatch(("old",), 0))

    def test_large_change_is_sent_as_whole_text(self):
        """Guards against a patch that takes more bytes than the text."""
        self.versions.keep(13, "all new")
        self.assertIsNone(self.versions.patch_from(12))
