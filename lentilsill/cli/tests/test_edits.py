"""Golden sessions of edits with conflicts and lost answers."""

import json
import unittest
from typing import cast

from approvaltests import verify

from lentilsill.cli.edits import (
    apply_document,
    delete_document,
    diff_document,
    show_document,
)
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

    async def diff(self, deadline_ms: int, head: str = "") -> ExitCode:
        text = head + json.dumps(a_document(deadline_ms=deadline_ms))
        self.lines.append(f"$ lentilsill diff  # deadline_ms {deadline_ms}")
        api = cast(ObjectApi, self.api)
        code = await diff_document(api, text, "slots.json5", self.lines.append)
        self.lines.append(f"exit {int(code)} {code.name}")
        return code

    async def test_diff_session(self) -> None:
        """A difference must be shown before the write, and nothing written."""
        self.assertEqual(await self.diff(800), ExitCode.DIFFERENT)
        self.lines.clear()
        self.api.store.put("service", "slots", a_document(), None)
        self.assertEqual(await self.diff(800), ExitCode.OK)
        self.assertEqual(await self.diff(900), ExitCode.DIFFERENT)
        self.assertEqual(await self.diff(900, "// version: 7\n"), ExitCode.DIFFERENT)
        self.assertEqual(self.api.writes, 0)
        verify("\n".join(self.lines))

    async def test_delete_session(self) -> None:
        """A deletion must not take another edit with it, nor be sent twice."""

        async def delete(base: int | None) -> None:
            self.lines.append(f"$ lentilsill delete slots  # base {base}")
            api = cast(ObjectApi, self.api)
            code = await delete_document(api, "slots", base, self.lines.append)
            self.lines.append(f"exit {int(code)} {code.name}")

        store = self.api.store
        store.put("service", "slots", a_document(deadline_ms=900), None)
        store.put("service", "slots", {"service": "slots"}, None)
        await delete(1)
        self.api.lose = ["dropped", "applied"]
        await delete(2)
        self.assertIn(("service", "slots"), store.objects)
        await delete(2)
        self.assertNotIn(("service", "slots"), store.objects)
        await delete(None)
        self.assertEqual(self.api.writes, 3)
        verify("\n".join(self.lines))
