"""Versions are in force in time and none goes back when the store loses writes."""

from .restored_store_builders import DrillCase


class NextVersionTests(DrillCase):
    """One node, whose store comes back at a lower revision."""

    async def start_with_version_at_a_high_revision(self):
        self.write(3, "five")
        self.write_others(20)
        self.write(4, "seven")
        node = self.start("a")
        await self.wait_in_force("seven", node)
        return node

    async def test_version_after_the_return_is_ignored_as_older(self):
        """Guards against a node that orders versions by revision alone (G9)."""
        node = await self.start_with_version_at_a_high_revision()
        self.restore(age_s=10.5)
        self.write(9, "nine")
        await self.wait_in_force("nine", node)

    async def test_version_at_a_revision_given_out_again_is_ignored(self):
        """Guards against two versions that share one revision (G9)."""
        node = await self.start_with_version_at_a_high_revision()
        revision = self.store.revision
        self.restore(age_s=5.5)
        self.write_others(revision - self.store.revision - 1)
        self.assertEqual(self.write(9, "nine"), revision)
        await self.wait_in_force("nine", node)

    async def test_version_that_the_counter_has_passed_is_never_read(self):
        """Guards against a watch that continues in another history (G9)."""
        node = await self.start_with_version_at_a_high_revision()
        revision = self.store.revision
        self.store.restore(10.5)
        self.write(9, "nine")
        self.write_others(30)
        self.assertGreater(self.store.revision, revision)
        await self.wait_in_force("nine", node)
