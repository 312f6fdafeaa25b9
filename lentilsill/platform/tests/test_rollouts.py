"""Tests of the translation of roll-outs, and of writes of a status."""

import socket
import unittest

from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lentilsill.platform import Conflict, HttpObjectApi, StoredObject
from lentilsill.platform.reports import parse_report, parse_versioned_report
from lentilsill.platform.rollouts import parse_order, parse_state, state_to_value
from lentilsill.platform.settings_file import parse_platform_settings
from lentilsill.rollouts import RolloutState, Stage
from standins.platform import Platform, make_app

from .builders import report, settings_text

SPEC = {"service": "a", "target_version": "v2", "duration_s": 30}


def order_object(version: int = 7, created: str = "3", **fields) -> StoredObject:
    return StoredObject("rollouts", "a", version, SPEC | fields, created=created)


class TranslationTests(unittest.TestCase):
    def test_repeated_order_has_the_same_identity(self):
        """Guards against a repeated order that exposes a bad version again."""
        first = parse_order(order_object()).unwrap()
        repeated = parse_order(order_object(9)).unwrap()
        self.assertEqual(first.identity, repeated.identity)
        for changed in (
            order_object(target_version="v3"),
            order_object(created="9"),
            order_object(duration_s=31),
        ):
            other = parse_order(changed).unwrap()
            self.assertNotEqual(first.identity, other.identity)

    def test_malformed_orders_and_states_are_rejected(self):
        """Guards against a roll-out from a malformed order."""
        for fields in (
            {"service": "b"},
            {"target_version": 2},
            {"target_version": ""},
            {"duration_s": "30"},
            {"duration_s": -1},
            {"duration_s": float("nan")},
            {"duration_s": float("inf")},
        ):
            self.assertTrue(parse_order(order_object(**fields)).is_err(), fields)
        values: tuple[object, ...] = (None, [], "x", {"service": "a"})
        for value in values:
            obj = StoredObject("rollout-states", "a", 1, value)
            self.assertTrue(parse_state(obj).is_err(), value)

    def test_stored_state_is_read_back(self):
        """Guards against a restart of all nodes that loses the stage."""
        order = parse_order(order_object()).unwrap()
        state = RolloutState(order, 5, Stage.ROLLED_BACK, "bad", True)
        obj = StoredObject("rollout-states", "a", 8, state_to_value(state))
        self.assertEqual(parse_state(obj), Ok(state))

    def test_version_becomes_a_label_only_if_it_is_asked_for(self):
        """Guards against labels in deployments without roll-outs."""
        plain = parse_report("i-1", report()).unwrap().record
        self.assertEqual(plain.labels, ())
        labelled = parse_versioned_report("i-1", report()).unwrap().record
        self.assertEqual(labelled.labels, (("version", "v1"),))
        odd = parse_versioned_report("i-1", report(version=7)).unwrap().record
        self.assertEqual(odd.labels, ())

    def test_settings_need_the_contract(self):
        """Guards against roll-outs where the operators don't ask for them."""
        self.assertIsNone(parse_platform_settings(settings_text()).rollouts)
        text = settings_text(contracts="routes, rollout")
        cfg = parse_platform_settings(text).rollouts
        assert cfg is not None
        self.assertEqual(
            (cfg.exposed_share, cfg.exposed_calls, cfg.rollback_s), (0.1, 50, 5)
        )


class StatusTests(unittest.IsolatedAsyncioTestCase):
    async def test_status_is_written_on_a_condition(self):
        """Guards against a status that replaces the one of a newer order."""
        sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        server = HTTPServer(make_app(Platform()))
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        port = sockets[0].getsockname()[1]
        api = HttpObjectApi(f"http://127.0.0.1:{port}", 5.0)
        self.addCleanup(api.close)
        missing = await api.put_status("rollouts", "a", {}, 1)
        self.assertEqual(missing, Err(Conflict(0)))
        self.assertEqual(await api.put("rollouts", "a", SPEC, 0), Ok(1))
        self.assertEqual(await api.put_status("rollouts", "a", {"x": 1}, 1), Ok(2))
        late = await api.put_status("rollouts", "a", {"x": 2}, 1)
        self.assertEqual(late, Err(Conflict(2)))
        found = (await api.get("rollouts", "a")).unwrap()
        assert found is not None
        self.assertEqual(
            (found.status, found.value, found.version), ({"x": 1}, SPEC, 2)
        )


if __name__ == "__main__":
    unittest.main()
