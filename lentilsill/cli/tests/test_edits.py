"""Golden sessions of edits with conflicts and lost answers."""

import json
import unittest
from typing import cast

from approvaltests import verify

from lentilsill.cli.edits import apply_document, show_document
from lentilsill.cli.exits import ExitCode
from lentilsill.platform import ObjectApi

from .builders import StoreApi, a_document


class EditsTest(unittest.IsolatedAsyncioTestCase):
    """An edit must never overwrite another one, nor be written twice."""

    def setUp(self) -> None:
        self.api = StoreApi()
        self.lines: list[str] = []

    async def apply(self, deadline_ms: int, head: str = "") -> ExitCode:
        text = head + json.dumps(a_document(deadline_ms=deadline_ms))
        self.lines.append(f"$ lentilsill apply  # deadline_ms {deadline_ms}")
        code = await apply_document(
            cast(ObjectApi, self.api), text, "slots.json5", None, self.lines.append
        )
        self.lines.append(f"exit {int(code)} {code.name}")
        return code

    async def test_conflict_session(self) -> None:
        """An edit of an old version must show both versions, and not write."""
        await self.apply(800)
        await show_document(cast(ObjectApi, self.api), "slots", self.lines.append)
        await self.apply(900, "// version: 1\n")
        await self.apply(700, "// version: 1\n")
        await self.apply(900, "// version: 1\n")
        obj = self.api.store.objects[("service", "slots")]
        self.assertEqual((obj.version, obj.value), (2, a_document(deadline_ms=900)))
        verify("\n".join(self.lines))

    async def test_lost_answer_session(self) -> None:
        """A lost answer must be resolved by reading, never by writing again."""
        self.api.lose = ["applied", "dropped", "applied"]
        codes = [await self.apply(800), await self.apply(900)]
        self.assertEqual(codes, [ExitCode.OK, ExitCode.NOT_WRITTEN])
        other = a_document(deadline_ms=500)
        self.api.on_put = lambda: self.api.store.put("service", "slots", other, None)
        self.api.lose = ["dropped"]
        self.assertEqual(await self.apply(900), ExitCode.CONFLICT)
        self.assertEqual(self.api.writes, 3)
        verify("\n".join(self.lines))

    async def test_lost_answer_of_a_write_that_was_edited_since(self) -> None:
        """A write that another operator has built on must not be called a conflict."""
        await self.apply(800)
        other = a_document(deadline_ms=500)
        self.api.on_lost = lambda: self.api.store.put("service", "slots", other, 2)
        self.api.lose = ["applied"]
        self.assertEqual(await self.apply(900), ExitCode.OK)
        self.assertIn("slots: written as version 2, and edited since", self.lines)
