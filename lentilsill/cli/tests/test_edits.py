"""Tests of the commands that edit documents, with conflicts and lost answers."""

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

from .builders import InMemoryObjectApi, make_document


class EditsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against edits that overwrite another edit or are written twice."""

    def setUp(self) -> None:
        self.api = InMemoryObjectApi()
        self.lines: list[str] = []

    async def apply(self, deadline_ms: int, head: str = "") -> ExitCode:
        text = head + json.dumps(make_document(deadline_ms=deadline_ms))
        self.lines.append(f"$ lentilsill apply  # deadline_ms {deadline_ms}")
        code = await apply_document(
            cast(ObjectApi, self.api), text, "slots.json5", None, self.lines.append
        )
        self.lines.append(f"exit {int(code)} {code.name}")
        return code

    async def test_conflict_session(self) -> None:
        """Guards against an edit of an old version that overwrites the newer one."""
        await self.apply(800)
        await show_document(cast(ObjectApi, self.api), "slots", self.lines.append)
        await self.apply(900, "// version: 1\n")
        await self.apply(700, "// version: 1\n")
        await self.apply(900, "// version: 1\n")
        obj = self.api.store.objects[("service", "slots")]
        self.assertEqual((obj.version, obj.value), (2, make_document(deadline_ms=900)))
        verify("\n".join(self.lines))

    async def test_lost_answer_session(self) -> None:
        """Guards against a second write after the answer to the first one was lost."""
        self.api.write_faults = ["applied", "dropped", "applied"]
        codes = [await self.apply(800), await self.apply(900)]
        self.assertEqual(codes, [ExitCode.OK, ExitCode.NOT_WRITTEN])
        other = make_document(deadline_ms=500)
        self.api.before_write = lambda: self.api.store.put(
            "service", "slots", other, None
        )
        self.api.write_faults = ["dropped"]
        self.assertEqual(await self.apply(900), ExitCode.CONFLICT)
        self.assertEqual(self.api.write_count, 3)
        verify("\n".join(self.lines))

    async def test_lost_answer_to_a_write_that_was_edited_since(self) -> None:
        """Guards against a false conflict when the written version was edited since."""
        await self.apply(800)
        other = make_document(deadline_ms=500)
        self.api.after_lost_answer = lambda: self.api.store.put(
            "service", "slots", other, 2
        )
        self.api.write_faults = ["applied"]
        self.assertEqual(await self.apply(900), ExitCode.OK)
        self.assertIn("slots: written as version 2, and edited since", self.lines)

    async def diff(self, deadline_ms: int, head: str = "") -> ExitCode:
        text = head + json.dumps(make_document(deadline_ms=deadline_ms))
        self.lines.append(f"$ lentilsill diff  # deadline_ms {deadline_ms}")
        api = cast(ObjectApi, self.api)
        code = await diff_document(api, text, "slots.json5", self.lines.append)
        self.lines.append(f"exit {int(code)} {code.name}")
        return code

    async def test_diff_session(self) -> None:
        """Guards against a diff that writes, or that hides a difference or conflict."""
        self.assertEqual(await self.diff(800), ExitCode.DIFFERENT)
        self.lines.clear()
        self.api.store.put("service", "slots", make_document(), None)
        self.assertEqual(await self.diff(800), ExitCode.OK)
        self.assertEqual(await self.diff(900), ExitCode.DIFFERENT)
        self.assertEqual(await self.diff(900, "// version: 7\n"), ExitCode.DIFFERENT)
        self.assertEqual(self.api.write_count, 0)
        verify("\n".join(self.lines))

    async def test_delete_session(self) -> None:
        """Guards against a deletion that removes a newer edit or is sent twice."""

        async def delete(base_version: int | None) -> None:
            self.lines.append(f"$ lentilsill delete slots  # base {base_version}")
            api = cast(ObjectApi, self.api)
            code = await delete_document(api, "slots", base_version, self.lines.append)
            self.lines.append(f"exit {int(code)} {code.name}")

        store = self.api.store
        store.put("service", "slots", make_document(deadline_ms=900), None)
        store.put("service", "slots", {"service": "slots"}, None)
        await delete(1)
        self.api.write_faults = ["dropped", "applied"]
        await delete(2)
        self.assertIn(("service", "slots"), store.objects)
        await delete(2)
        self.assertNotIn(("service", "slots"), store.objects)
        await delete(None)
        self.assertEqual(self.api.write_count, 3)
        verify("\n".join(self.lines))
