"""Simulations of calls from many nodes to the upstreams of one service."""

import unittest

from lentilsill.retries import MAX_SLOT_PROBES

from .placement_simulation import PlacementSimulation, Traffic

NODES = 39
SPEEDS = (0.6, 1.0, 1.4) * 5
SECONDS = 10.0
SEEDS = (1, 2, 3)
# Probing must save two fifths of the calls that are not on time without it.
MAX_LOSS_RATIO = 0.6


def traffic(load: float, slots: int) -> list[Traffic]:
    """Return long calls, short urgent ones, and calls that running calls make.

    `load` is a multiple of the capacity of the upstreams; each kind has a fixed share.
    """
    work_per_s = load * sum(SPEEDS) * slots
    return [
        Traffic("view", 0.80 * work_per_s / 0.34, 0.34, 0.5, 1.2, 6.0, priority=2),
        Traffic("route", 0.12 * work_per_s / 0.054, 0.054, 0.3, 0.3, 2.0, priority=1),
        Traffic("inner", 0.08 * work_per_s / 0.034, 0.034, 0.5, 0.15, 0.43, retries=0),
    ]


def on_time_shares(load: float, slots: int, max_probes: int) -> dict[str, float]:
    """Return the share of calls answered within their objective, by kind."""
    total: dict[str, int] = {}
    good: dict[str, int] = {}
    for seed in SEEDS:
        kinds = traffic(load, slots)
        simulation = PlacementSimulation(
            kinds, SPEEDS, slots, NODES, max_probes, SECONDS, seed
        )
        for name, counts in simulation.run().items():
            total[name] = total.get(name, 0) + counts.calls
            good[name] = good.get(name, 0) + counts.on_time
    return {name: good[name] / total[name] for name in total}


def lookup_simulation(load: float, seed: int) -> PlacementSimulation:
    """Return a simulation of lookups over slow nodes, a quarter of them pipelined.

    The upstreams differ in speed. Lookups typically take half of their objective, and
    all of it at the slow upstreams.
    """
    speeds = (0.5, 1.0, 1.0, 1.5) * 6
    per_s = load * sum(speeds) * 3 / 0.163
    lookup = Traffic(
        "lookup", per_s, 0.163, 0.4, 0.3, 2.0, priority=2, pipelined_share=0.25
    )
    return PlacementSimulation(
        [lookup], speeds, 3, 70, MAX_SLOT_PROBES, SECONDS, seed, 3, message_s=0.01
    )


class PlacementTests(unittest.TestCase):
    def test_calls_find_free_slots_when_most_are_taken(self):
        """Guards against calls that wait while other upstreams have free slots, at nine
        tenths of the capacity with few slots each."""
        for slots in (2, 4):
            with self.subTest(slots=slots):
                unprobed, probed = (
                    on_time_shares(0.9, slots, 0),
                    on_time_shares(0.9, slots, MAX_SLOT_PROBES),
                )
                for kind in ("view", "route", "inner"):
                    self.assertGreater(probed[kind], unprobed[kind], kind)
                lost = sum(1 - share for share in unprobed.values())
                still_lost = sum(1 - share for share in probed.values())
                self.assertLess(still_lost, MAX_LOSS_RATIO * lost)

    def test_probing_in_overload_costs_no_kind_of_calls(self):
        """Guards against probing that helps one kind of calls at the cost of another,
        at 1.3 times the capacity."""
        unprobed, probed = (
            on_time_shares(1.3, 4, 0),
            on_time_shares(1.3, 4, MAX_SLOT_PROBES),
        )
        for kind in ("view", "route", "inner"):
            self.assertGreater(probed[kind], unprobed[kind] - 0.02, kind)

    def test_light_load_needs_few_messages(self):
        """Guards against messages without a benefit, at half of the capacity."""
        kinds = traffic(0.5, 4)
        simulation = PlacementSimulation(
            kinds, SPEEDS, 4, NODES, MAX_SLOT_PROBES, SECONDS
        )
        counts = simulation.run().values()
        messages = sum(s.messages for s in counts) / sum(s.calls for s in counts)
        self.assertLess(messages, 3.0)

    def test_late_calls_do_not_take_the_slots_of_calls_on_time(self):
        """Guards against late calls that make the calls behind them late, at upstreams
        and on their connection, at 1.25 times the capacity of 3 slots each, with slow
        nodes and a quarter of the calls pipelined. Half of all calls must be on
        time."""
        calls = good = 0
        for seed in SEEDS:
            counts = lookup_simulation(1.25, seed).run()["lookup"]
            calls += counts.calls
            good += counts.on_time
        self.assertGreater(good, 0.5 * calls)

    def test_probing_costs_little_where_no_slot_is_free(self):
        """Guards against calls that spend their time, and the links of two nodes, on
        probes that find no free slot, at 1.25 times the capacity. Probing as at light
        load would take more than 9 messages a call."""
        simulation = lookup_simulation(1.25, seed=1)
        counts = simulation.run()["lookup"]
        self.assertLess(counts.messages, 6 * counts.calls)
