"""What callers at many nodes get from the upstreams of their domain."""

import unittest

from lentilsill.retries import MAX_SLOT_PROBES

from .placement_simulation import PlacementSimulation, Traffic

NODES = 39
SPEEDS = (0.6, 1.0, 1.4) * 5
SECONDS = 10.0
SEEDS = (1, 2, 3)
# Asking must win back two fifths of what is lost without it.
WON_BACK = 0.6


def traffic(load: float, slots: int) -> list[Traffic]:
    """Long calls, short urgent ones, and calls that running calls make.

    `load` is a multiple of what the upstreams carry; their shares of it are fixed.
    """
    slots_s = load * sum(SPEEDS) * slots
    return [
        Traffic("view", 0.80 * slots_s / 0.34, 0.34, 0.5, 1.2, 6.0, priority=2),
        Traffic("route", 0.12 * slots_s / 0.054, 0.054, 0.3, 0.3, 2.0, priority=1),
        Traffic("inner", 0.08 * slots_s / 0.034, 0.034, 0.5, 0.15, 0.43, repeats=0),
    ]


def in_time(load: float, slots: int, max_probes: int) -> dict[str, float]:
    """Share of calls that are answered within their objective, by kind."""
    total: dict[str, int] = {}
    good: dict[str, int] = {}
    for seed in SEEDS:
        kinds = traffic(load, slots)
        play = PlacementSimulation(
            kinds, SPEEDS, slots, NODES, max_probes, SECONDS, seed
        )
        for name, served in play.run().items():
            total[name] = total.get(name, 0) + served.calls
            good[name] = good.get(name, 0) + served.in_time
    return {name: good[name] / total[name] for name in total}


def unequal_play(load: float, seed: int) -> PlacementSimulation:
    """Lookups at upstreams of unequal speed, over slow nodes, some sent ahead.

    Their usual time is half of their objective, and all of it at the slow upstreams.
    """
    speeds = (0.5, 1.0, 1.0, 1.5) * 6
    per_s = load * sum(speeds) * 3 / 0.163
    lookup = Traffic("lookup", per_s, 0.163, 0.4, 0.3, 2.0, priority=2, ahead=0.25)
    return PlacementSimulation(
        [lookup], speeds, 3, 70, MAX_SLOT_PROBES, SECONDS, seed, 3, message_s=0.01
    )


class PlacementTests(unittest.TestCase):
    def test_calls_find_free_slots_when_most_are_taken(self):
        """Guards against calls that wait beside free slots: nine tenths of what the
        upstreams carry, with few slots each."""
        for slots in (2, 4):
            with self.subTest(slots=slots):
                blind, asking = (
                    in_time(0.9, slots, 0),
                    in_time(0.9, slots, MAX_SLOT_PROBES),
                )
                for kind in ("view", "route", "inner"):
                    self.assertGreater(asking[kind], blind[kind], kind)
                lost = sum(1 - share for share in blind.values())
                still_lost = sum(1 - share for share in asking.values())
                self.assertLess(still_lost, WON_BACK * lost)

    def test_overload_costs_nobody_more(self):
        """Guards against asking that takes from one kind of calls what it gives to
        another: 1.3 times what the upstreams carry."""
        blind, asking = in_time(1.3, 4, 0), in_time(1.3, 4, MAX_SLOT_PROBES)
        for kind in ("view", "route", "inner"):
            self.assertGreater(asking[kind], blind[kind] - 0.02, kind)

    def test_light_load_takes_few_messages(self):
        """Guards against messages that nobody gains by: half of the capacity."""
        kinds = traffic(0.5, 4)
        play = PlacementSimulation(kinds, SPEEDS, 4, NODES, MAX_SLOT_PROBES, SECONDS)
        served = play.run().values()
        messages = sum(s.messages for s in served) / sum(s.calls for s in served)
        self.assertLess(messages, 3.0)

    def test_late_calls_do_not_take_the_slots_of_those_in_time(self):
        """Guards against late calls that run while others become late behind them, on
        an upstream and on their connection: 1.25 times the capacity of 3 slots each,
        slow nodes, and a quarter of the calls sent ahead. Half of all calls are to be
        in time."""
        calls = good = 0
        for seed in SEEDS:
            served = unequal_play(1.25, seed).run()["lookup"]
            calls += served.calls
            good += served.in_time
        self.assertGreater(good, 0.5 * calls)

    def test_no_time_is_lost_by_asking_where_no_slot_is_free(self):
        """Guards against calls that spend their time, and the links of two nodes, on
        asks that find nothing: 1.25 times the capacity; asking as at light load would
        take more than 9 messages a call."""
        play = unequal_play(1.25, seed=1)
        served = play.run()["lookup"]
        self.assertLess(served.messages, 6 * served.calls)
