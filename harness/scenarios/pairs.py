"""Keyed requests and requests that crash their upstream, under combined faults."""

import asyncio

from harness.layout import Host
from harness.load import FAILED_OUTCOMES
from harness.scenario import Run, Scenario
from standins.caller import CallPlan

__all__ = ["LOST_ENTRY", "OWN_KEYS_SCENARIO", "PAIRS", "POISON_IN_CUT"]

LONG_CALL_MS = 700.0
CALLS_PER_NODE = 4
SETTLE_S = 0.5
OWN_KEY_COUNT = 25
PLATFORM_DELAY_MS = 30.0
LOST_ANSWER_SHARE = 0.4
SEND_COUNT = 24
SEND_PAUSE_S = 0.1
RESTART_PAUSE_S = 0.3
# A request is quarantined after two crashes. A third attempt may be running on
# another node before the report of the second crash reaches that node.
MAX_CRASHES = 3
CRASH_HEADERS = (("X-Standin-Crash", "1"),)


async def run_lost_entry(run: Run) -> None:
    """Kill entry nodes during keyed calls and get the answers by resending."""
    load = run.make_load(service_ms=20, concurrency=6)
    load.start()
    await asyncio.sleep(SETTLE_S)
    for domain in run.scenario.domains:
        killed_host, *others = run.hosts_of(domain)
        keys = await run.caller.fetch_keys(CALLS_PER_NODE, others[0].caller_address)
        # Each key must keep a majority without the killed node and its worker.
        await asyncio.gather(
            *(_call_twice(run, key, killed_host, others) for key in keys)
        )
        run.node(killed_host).start()
        await asyncio.to_thread(run.cluster.wait_ready, killed_host)
    await load.stop()


async def _call_twice(
    run: Run, key: str, killed_host: Host, others: list[Host]
) -> None:
    """Make a call, kill its entry node while an upstream runs it, and resend it.

    The upstream is on another host.
    """
    service = run.service_of(others[0])
    path = f"/{service}/book"
    plan = CallPlan(path, "POST", False, b"once", service_ms=LONG_CALL_MS)
    first_call_task = asyncio.create_task(
        run.caller.call(plan, key, killed_host.caller_address)
    )
    await asyncio.sleep(LONG_CALL_MS / 2000)
    if run.node(killed_host).is_running:
        run.kill(run.node(killed_host))
    first_record = await first_call_task
    await asyncio.sleep(LONG_CALL_MS / 1000)
    resent_record = await run.caller.call(
        plan, key, others[1].caller_address, first_record.call_id
    )
    if first_record.outcome not in FAILED_OUTCOMES:
        run.findings.add("scenario", f"entry node answered: {first_record.outcome}")
    if resent_record.outcome != "answered":
        reason = f"{resent_record.outcome}: {resent_record.reason}"
        run.findings.add(
            f"G4 {first_record.call_id}", f"resend after a crash: {reason}"
        )


async def run_poison_in_cut(run: Run) -> None:
    """Repeat a request that crashes its upstream in a partitioned domain."""
    cut_domain = run.scenario.domains[0]
    cut_hosts = run.hosts_of(cut_domain)
    load = run.make_load(service_ms=20, concurrency=6)
    load.nodes = [host.caller_address for host in run.hosts if host not in cut_hosts]
    load.start()
    _set_links(run, cut_domain, "cut")
    run.disrupted |= {host.node for host in cut_hosts}
    await asyncio.sleep(SETTLE_S)
    service = run.scenario.services[0]
    booking = CallPlan(
        f"/{service}/book", "POST", False, b"x", True, 5, headers=CRASH_HEADERS
    )
    lookup = CallPlan(f"/{service}/lookup/bad", service_ms=5, headers=CRASH_HEADERS)
    for plan, max_crashes in ((booking, 1), (lookup, MAX_CRASHES)):
        crashed_workers = await _send_repeatedly(run, plan, cut_hosts)
        print(f"{plan.path}: killed {', '.join(crashed_workers)}")
        if not 0 < len(crashed_workers) <= max_crashes:
            run.findings.add(f"quarantine {plan.path}", f"killed {crashed_workers}")
    _set_links(run, cut_domain, "open")
    await run.write(service)
    run.recovery_s = await run.wait_until_in_force(what="edit after the heal")
    # The quarantine lasts beyond the partition, so no other domain gets the request.
    for host in cut_hosts:
        record = await run.caller.call(lookup, node=host.caller_address)
        if "quarantined" not in record.reason:
            run.findings.add(f"quarantine {host.node}", f"{record.outcome} after heal")
    if any(not run.worker(host).is_running for host in run.hosts):
        run.findings.add("quarantine", "a worker died after the heal")
    await load.stop()


async def _send_repeatedly(
    run: Run, plan: CallPlan, cut_hosts: list[Host]
) -> list[str]:
    """Send one request to the nodes in turn and restart crashed workers.

    Returns the names of the workers that crashed.
    """
    crashed_workers: list[str] = []
    workers = [run.worker(host) for host in run.hosts]
    request_key = call_id = ""
    for turn in range(SEND_COUNT):
        node = cut_hosts[turn % len(cut_hosts)].caller_address
        record = await run.caller.call(plan, request_key, node, call_id)
        request_key = record.request_key
        call_id = record.call_id if request_key else ""
        await asyncio.sleep(SEND_PAUSE_S)
        for process in [process for process in workers if not process.is_running]:
            crashed_workers.append(process.name)
            await asyncio.sleep(RESTART_PAUSE_S)
            process.start()
    return crashed_workers


async def run_own_keys(run: Run) -> None:
    """Send each request, with a key chosen by the caller, to two nodes concurrently.

    The platform, which stores the claims, is first slow and loses answers to writes,
    and is then down.
    """
    run.cluster.set_faults(
        mode="slow", delay_ms=PLATFORM_DELAY_MS, lose_write_answers=LOST_ANSWER_SHARE
    )
    await _send_to_two_nodes(run, "slow")
    run.cluster.set_faults(mode="down")
    await _send_to_two_nodes(run, "down")
    run.cluster.set_faults(mode="ok")
    # No key was claimed during the outage, so all of them are still usable.
    await _send_to_two_nodes(run, "down")
    answered_keys = {
        r.request_key for r in run.caller.records if r.outcome == "answered"
    }
    if len(answered_keys) < 2 * OWN_KEY_COUNT:
        run.findings.add("own keys", f"only {len(answered_keys)} keys answered")


async def _send_to_two_nodes(run: Run, phase: str) -> None:
    for number in range(OWN_KEY_COUNT):
        key = f"{phase}-order-{number}"
        hosts = run.rng.sample(run.hosts, 2)
        await asyncio.gather(*(_send_keyed_call(run, key, host) for host in hosts))


async def _send_keyed_call(run: Run, key: str, host: Host) -> None:
    plan = CallPlan("/slots/book", "POST", False, b"own", service_ms=20)
    await run.caller.call(plan, key, host.caller_address, key)


def _set_links(run: Run, domain: str, action: str) -> None:
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
