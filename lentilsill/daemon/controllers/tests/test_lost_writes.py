"""What nodes wrote to the store is written again after the store has lost it."""

from lentilsill.daemon.controllers.directory import DIRECTORY_KIND, DirectoryController
from lentilsill.daemon.controllers.status import STATUS_KIND, StatusController

from .restored_store_builders import DrillCase
from .spread_builders import wait_until

# Directory entries are checked within 3 s, and a status is written each second.
WRITTEN_AGAIN_S = 5.0


class LostWriteTests(DrillCase):
    """One node with a directory entry and a domain status, both in the store."""

    async def start_writing(self):
        self.write(3, "five")
        node = self.start("a")
        await self.wait_in_force("five", node)
        ctx, membership = node.ctx, node.membership
        DirectoryController(ctx, self.make_api(), membership).start()
        ranked = [membership.table.own]
        documents = node.documents
        status = StatusController(ctx, documents, self.make_api(), lambda: ranked)
        status.start()
        await self.wait_for(DIRECTORY_KIND, "a")
        await self.wait_for(STATUS_KIND, "lahore")
        return node

    async def wait_for(self, kind, name):
        objects = self.store.objects
        await wait_until(lambda: (kind, name) in objects, WRITTEN_AGAIN_S)

    async def test_directory_entry_stays_lost(self):
        """Guards against nodes that a started one can't find (RECOVER)."""
        await self.start_writing()
        self.restore(age_s=0.5)
        self.assertNotIn((DIRECTORY_KIND, "a"), self.store.objects)
        await self.wait_for(DIRECTORY_KIND, "a")

    async def test_domain_status_stays_lost(self):
        """Guards against operators who see no domain for half a minute."""
        await self.start_writing()
        self.restore(age_s=0.5)
        self.assertNotIn((STATUS_KIND, "lahore"), self.store.objects)
        await self.wait_for(STATUS_KIND, "lahore")
        value = self.store.objects[STATUS_KIND, "lahore"].value
        self.assertEqual(value["services"]["main"]["in_force"], 1 << 40 | 1)
