"""Keyed and crashing requests under two faults at once."""

import asyncio

from harness.layout import Host
from harness.load import FAILED_OUTCOMES
from harness.scenario import Run, Scenario
from standins.caller import CallPlan

__all__ = ["LOST_ENTRY", "OWN_KEYS_SCENARIO", "PAIRS", "POISON_IN_CUT"]

LONG_CALL_MS = 700.0
CALLS_PER_NODE = 4
SETTLE_S = 0.5
OWN_KEYS = 25
SLOW_MS = 30.0
LOST_SHARE = 0.4
SENDS = 24
SEND_PAUSE_S = 0.1
RESTART_PAUSE_S = 0.3
# A crash counts against a request twice before it is quarantined, and one more
# may be under way on another node when the report of the second one spreads.
MAX_DEATHS = 3
CRASH = (("X-Standin-Crash", "1"),)


async def run_lost_entry(run: Run) -> None:
    """Kill entry nodes while their keyed calls run; the resends get the answers."""
    load = run.make_load(service_ms=20, concurrency=6)
    load.start()
    await asyncio.sleep(SETTLE_S)
    for domain in run.scenario.domains:
        victim, *others = run.hosts_of(domain)
        keys = await run.caller.fetch_keys(CALLS_PER_NODE, others[0].caller_address)
        # The key must keep a majority without the victim and its worker.
        await asyncio.gather(*(_call_twice(run, key, victim, others) for key in keys))
        run.node(victim).start()
        await asyncio.to_thread(run.cluster.wait_ready, victim)
    await load.stop()


async def _call_twice(run: Run, key: str, victim: Host, others: list[Host]) -> None:
    """Make a call whose upstream is on another host, kill the entry, resend."""
    service = run.service_of(others[0])
    path = f"/{service}/book"
    plan = CallPlan(path, "POST", False, b"once", service_ms=LONG_CALL_MS)
    call = asyncio.create_task(run.caller.call(plan, key, victim.caller_address))
    await asyncio.sleep(LONG_CALL_MS / 2000)
    if run.node(victim).is_running:
        run.kill(run.node(victim))
    first = await call
    await asyncio.sleep(LONG_CALL_MS / 1000)
    again = await run.caller.call(plan, key, others[1].caller_address, first.call_id)
    if first.outcome not in FAILED_OUTCOMES:
        run.findings.add("scenario", f"entry node answered: {first.outcome}")
    if again.outcome != "answered":
        reason = f"{again.outcome}: {again.reason}"
        run.findings.add(f"G4 {first.call_id}", f"resend after a crash: {reason}")


async def run_poison_in_cut(run: Run) -> None:
    """Send a crashing request again and again in a domain that is cut off."""
    cut = run.scenario.domains[0]
    inside = run.hosts_of(cut)
    load = run.make_load(service_ms=20, concurrency=6)
    load.nodes = [host.caller_address for host in run.hosts if host not in inside]
    load.start()
    _set_cut(run, cut, "cut")
    run.disrupted |= {host.node for host in inside}
    await asyncio.sleep(SETTLE_S)
    service = run.scenario.services[0]
    booking = CallPlan(f"/{service}/book", "POST", False, b"x", True, 5, headers=CRASH)
    lookup = CallPlan(f"/{service}/lookup/bad", service_ms=5, headers=CRASH)
    for plan, bound in ((booking, 1), (lookup, MAX_DEATHS)):
        deaths = await _send_again(run, plan, inside)
        print(f"{plan.path}: killed {', '.join(deaths)}")
        if not 0 < len(deaths) <= bound:
            run.findings.add(f"quarantine {plan.path}", f"killed {deaths}")
    _set_cut(run, cut, "open")
    await run.write(service)
    run.recovery_s = await run.wait_until_in_force(what="edit after the heal")
    # The quarantine holds after the heal, so the request does not spill over.
    for host in inside:
        record = await run.caller.call(lookup, node=host.caller_address)
        if "quarantined" not in record.reason:
            run.findings.add(f"quarantine {host.node}", f"{record.outcome} after heal")
    if any(not run.worker(host).is_running for host in run.hosts):
        run.findings.add("quarantine", "a worker died after the heal")
    await load.stop()


async def _send_again(run: Run, plan: CallPlan, inside: list[Host]) -> list[str]:
    """Send one request to the nodes in turn; dead workers are started again."""
    deaths: list[str] = []
    workers = [run.worker(host) for host in run.hosts]
    request_key = call_id = ""
    for turn in range(SENDS):
        node = inside[turn % len(inside)].caller_address
        record = await run.caller.call(plan, request_key, node, call_id)
        request_key = record.request_key
        call_id = record.call_id if request_key else ""
        await asyncio.sleep(SEND_PAUSE_S)
        for process in [process for process in workers if not process.is_running]:
            deaths.append(process.name)
            await asyncio.sleep(RESTART_PAUSE_S)
            process.start()
    return deaths


async def run_own_keys(run: Run) -> None:
    """Send requests with keys of the caller's own at two nodes at once.

    The platform, which holds the claims, is slow and loses answers to writes,
    and is then down for a time.
    """
    run.cluster.set_faults(mode="slow", delay_ms=SLOW_MS, lose_write_answers=LOST_SHARE)
    await _send_pairs(run, "slow")
    run.cluster.set_faults(mode="down")
    await _send_pairs(run, "down")
    run.cluster.set_faults(mode="ok")
    # Nothing was claimed in the outage, so that every key can be used after it.
    await _send_pairs(run, "down")
    answered = {r.request_key for r in run.caller.records if r.outcome == "answered"}
    if len(answered) < 2 * OWN_KEYS:
        run.findings.add("own keys", f"only {len(answered)} keys answered")


async def _send_pairs(run: Run, phase: str) -> None:
    for number in range(OWN_KEYS):
        key = f"{phase}-order-{number}"
        nodes = run.rng.sample(run.hosts, 2)
        await asyncio.gather(*(_send_own(run, key, host) for host in nodes))


async def _send_own(run: Run, key: str, host: Host) -> None:
    plan = CallPlan("/slots/book", "POST", False, b"own", service_ms=20)
    await run.caller.call(plan, key, host.caller_address, key)


def _set_cut(run: Run, domain: str, action: str) -> None:
    for other in run.scenario.domains:
        if other != domain:
            run.cluster.set_rule(domain, other, action=action, both=True)


LOST_ENTRY = Scenario(
    "lost-entry",
    run_lost_entry,
    domains=("lahore", "multan"),
    hosts_per_domain=4,
    services=("slots", "ledger"),
    seed=16,
)
POISON_IN_CUT = Scenario(
    "poison-in-cut",
    run_poison_in_cut,
    domains=("lahore", "multan"),
    hosts_per_domain=4,
    with_relay=True,
    seed=17,
)
OWN_KEYS_SCENARIO = Scenario(
    "own-keys",
    run_own_keys,
    hosts_per_domain=2,
    seed=18,
)
PAIRS = (LOST_ENTRY, POISON_IN_CUT, OWN_KEYS_SCENARIO)
