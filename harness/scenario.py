"""Runs a scenario: starts processes, injects faults under load, checks the history."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from lentilsill.findings import Findings
from standins.caller import Caller, CallPlan

from .addresses import reserved_second_octet
from .documents import BUNDLE, make_bundle, make_document
from .history import DocumentWrite, check_history
from .layout import Host, Layout
from .load import Load, make_mixed_plans
from .measurements import Measurements, measure
from .objects import write_object
from .organisation_checks import check_organisations
from .processes import Cluster, Process, fetch_json, running_cluster
from .recording import Recording
from .rollout_checks import check_rollouts

__all__ = ["Result", "Run", "Scenario", "run_scenario"]

POLL_INTERVAL_S = 0.05
# Guarantees: an accepted configuration is in force everywhere within 13 s (G9), and
# a leaving upstream receives no new work after 2 s (G7).
CONVERGENCE_BOUND_S = 13.0
START_TIMEOUT_S = 20.0
WORKER_SLOTS = 12
# Number of findings for which the report lists attempts and executions.
MAX_DESCRIBED_FINDINGS = 5


@dataclass(frozen=True)
class Scenario:
    """A kind of run: processes, their settings, and faults under load.

    Parameters
    ----------
    body : callable
        Called with the `Run` once nodes, documents and workers are up; creates
        the load and the faults. All calls must have ended when it returns.
    hosts_per_domain : int
        Number of hosts in each domain; each host has one node and one worker.
        The services are assigned to the workers in turn.
    document_options : dict
        Keyword arguments of `make_document` for every document.
    caller_limits : dict
        If given, the documents are written as one bundle with these limits.
    probe_path : str
        Path below each service that nodes answer once they serve it.
    worker_labels : tuple of str
        Labels of the workers, in the form ``name=value``.
    store_era : int
        First era of the platform's store; 0 for a store that names none.
    can_lose_answers : bool
        Whether the faults can make callers lose answers. If not, G8 requires an
        answer or `not_run` for every call.
    """

    name: str
    body: Callable[["Run"], Awaitable[None]]
    domains: tuple[str, ...] = ("lahore", "faisalabad", "multan")
    hosts_per_domain: int = 3
    services: tuple[str, ...] = ("slots", "ledger")
    seed: int = 1
    with_relay: bool = False
    probe_path: str = "lookup/0"
    worker_labels: tuple[str, ...] = ()
    store_era: int = 0
    can_lose_answers: bool = True
    sections: dict[str, Any] = field(default_factory=dict)
    caller_limits: dict[str, int] = field(default_factory=dict)
    document_options: dict[str, Any] = field(default_factory=dict)
    parameters: dict[str, float] = field(default_factory=dict)
    soak_parameters: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Result:
    """Result of a run; the run passed when there are no findings.

    `details` lists the attempts and executions of the calls in the findings.
    """

    scenario: str
    seed: int
    findings: Findings
    measurements: Measurements
    recovery_s: float | None
    duration_s: float
    details: list[str]

    def lines(self) -> list[str]:
        """Return the lines of the report."""
        recovery = "-" if self.recovery_s is None else f"{self.recovery_s:.3f} s"
        return [
            *self.measurements.lines(),
            f"recovery time: {recovery}",
            f"took: {self.duration_s:.1f} s",
            *(f"finding: {finding}" for finding in self.findings),
            *self.details,
        ]


@dataclass
class Run:
    """A run in progress, with the operations that the body of a scenario uses.

    `disrupted` holds the names of processes that were not up and connected for
    the whole run.
    """

    scenario: Scenario
    cluster: Cluster
    recording: Recording
    caller: Caller
    rng: random.Random
    parameters: dict[str, float]
    findings: Findings = field(default_factory=Findings)
    disrupted: set[str] = field(default_factory=set)
    recovery_s: float | None = None
    edit_count: int = 0

    @property
    def hosts(self) -> tuple[Host, ...]:
        """All hosts."""
        return self.cluster.layout.hosts

    def hosts_of(self, domain: str) -> list[Host]:
        """Return the hosts of a domain."""
        return [host for host in self.hosts if host.domain == domain]

    def node(self, host: Host) -> Process:
        """Return the process of the node on a host."""
        return self.cluster.processes[host.node]

    def service_of(self, host: Host) -> str:
        """Return the service of the worker on a host."""
        services = self.scenario.services
        return services[self.hosts.index(host) % len(services)]

    def worker(self, host: Host) -> Process:
        """Return the process of the first worker on a host."""
        return self.cluster.processes[f"{self.service_of(host)}-1-{host.node}"]

    def start_worker(self, host: Host) -> Process:
        """Start the first worker on a host."""
        options = ["--slots", str(WORKER_SLOTS)]
        for label in self.scenario.worker_labels:
            options += ["--labels", label]
        return self.cluster.start_worker(host, self.service_of(host), 0, "1", *options)

    def make_load(
        self,
        plans: Iterable[CallPlan] = (),
        hosts: Iterable[Host] = (),
        service_ms: float = 30.0,
        **options: Any,
    ) -> Load:
        """Make a load on the nodes of the given hosts, by default of all hosts."""
        nodes = [host.caller_address for host in hosts or self.hosts]
        load_plans = tuple(plans) or make_mixed_plans(
            self.scenario.services, service_ms
        )
        return Load(self.caller, nodes, load_plans, self.rng, **options)

    async def write(
        self,
        service: str,
        value: dict[str, Any] | None = None,
        *,
        is_valid: bool = True,
        **options: Any,
    ) -> int:
        """Write a document to the platform, record it and return its version.

        If `value` is None, the document or bundle is made from the options. The
        version of a bundle is its number.
        """
        if value is None:
            value = self.make_value(service, **options)
        url = self.cluster.layout.platform_url
        requested_s = time.monotonic()
        version = await asyncio.to_thread(write_object, url, "service", service, value)
        if service == BUNDLE:
            version = value["version"]
        references = tuple(value.get("requires", ()))
        self.recording.writes.append(
            DocumentWrite(
                service,
                version,
                requested_s,
                is_valid,
                references=references,
                organisations=(self.scenario.document_options | options).get(
                    "organisations"
                ),
            )
        )
        return version

    def make_value(self, service: str, **options: Any) -> dict[str, Any]:
        """Make the next version of a document or bundle."""
        self.edit_count += 1
        cfg = self.scenario
        options = cfg.document_options | options | {"edit": self.edit_count}
        if service == BUNDLE:
            return make_bundle(cfg.services, cfg.caller_limits, **options)
        return make_document(service, **options)

    async def wait_for(
        self, condition: Callable[[], bool], timeout_s: float, what: str
    ) -> float:
        """Wait for a condition and return the seconds waited.

        If the condition does not become true in time, a finding is added and
        the run continues.
        """
        start_s = time.monotonic()
        while not await asyncio.to_thread(condition):
            if time.monotonic() - start_s > timeout_s:
                self.findings.add(what, f"not within {timeout_s:g} s")
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    async def wait_until_in_force(
        self, hosts: Iterable[Host] = (), what: str = ""
    ) -> float:
        """Wait until the newest valid versions are in force on the nodes."""
        newest = {w.service: w.version for w in self.recording.writes if w.is_valid}
        waiting = list(hosts or self.hosts)

        def is_done() -> bool:
            while waiting and self.fetch_versions_in_force(waiting[0]) == newest:
                waiting.pop(0)
            return not waiting

        return await self.wait_for(
            is_done, CONVERGENCE_BOUND_S, f"G9 {what or 'newest versions in force'}"
        )

    def fetch_versions_in_force(self, host: Host) -> dict[str, int]:
        """Fetch the versions in force on a node; empty when it does not answer."""
        in_force = self.fetch_state(host).get("documents", {}).get("in_force") or {}
        return {BUNDLE: in_force["version"]} if "rev" in in_force else in_force

    def fetch_state(self, host: Host) -> dict[str, Any]:
        """Fetch the state dump of a node; empty when it does not answer."""
        try:
            url = f"http://{host.admin_address}/lentilsill/state"
            return fetch_json(url) or {}
        except OSError:
            return {}

    async def stop_node(self, host: Host, timeout_s: float = 40.0) -> None:
        """Stop a node with SIGTERM and record the stop."""
        process, requested_s = self.node(host), time.monotonic()
        self.disrupted.add(host.node)
        process.terminate()
        status = await asyncio.to_thread(process.wait, timeout_s)
        self.recording.record_node_stop(process, requested_s, status)

    async def stop_worker(self, process: Process, timeout_s: float = 40.0) -> None:
        """Stop a worker with SIGTERM and record its retirement and stop."""
        requested_s = time.monotonic()
        self.recording.record_retirement([process.name])
        process.terminate()
        status = await asyncio.to_thread(process.wait, timeout_s)
        self.recording.record_worker_stop(process, requested_s, status)

    def kill(self, process: Process) -> None:
        """Kill a process with SIGKILL and record it as disrupted."""
        self.disrupted.add(process.name)
        process.kill()

    async def start(self) -> None:
        """Start nodes and workers, write documents, and wait until all nodes serve."""
        if self.scenario.caller_limits:
            await self.write(BUNDLE)
        for host in self.hosts:
            self.cluster.start_node(host)
        for host in self.hosts:
            await asyncio.to_thread(self.cluster.wait_ready, host, START_TIMEOUT_S)
            self.start_worker(host)
        for service in () if self.scenario.caller_limits else self.scenario.services:
            await self.write(service)
        await self.wait_until_in_force()
        for service in self.scenario.services:
            await self.wait_until_served(f"/{service}/{self.scenario.probe_path}")
        # SIGTERM kills a worker that is still starting, instead of making it leave.
        for host in self.hosts:
            await self.wait_for(
                partial(_has_upstream, host), START_TIMEOUT_S, f"worker on {host.node}"
            )

    async def wait_until_served(self, path: str) -> None:
        """Call a path until every node answers; these calls aren't recorded."""
        probe = Caller([host.caller_address for host in self.hosts])
        plan = CallPlan(path, service_ms=0)
        try:
            for host in self.hosts:
                await self._wait_until_answered(probe, plan, host)
        finally:
            probe.close()

    async def _wait_until_answered(
        self, probe: Caller, plan: CallPlan, host: Host
    ) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        while True:
            record = await probe.call(plan, node=host.caller_address)
            if record.outcome == "answered":
                return
            if time.monotonic() > end_s:
                raise TimeoutError(f"{host.node}: {plan.path}: {record.reason}")
            await asyncio.sleep(POLL_INTERVAL_S)


def run_scenario(
    scenario: Scenario,
    seed: int | None = None,
    is_soak: bool = False,
    log_folder: Path | None = None,
) -> Result:
    """Run a scenario and check its history.

    If `log_folder` is given, the logs of all processes are copied to it.
    Raises TimeoutError or RuntimeError when the processes do not start.
    """
    seed = scenario.seed if seed is None else seed
    parameters = scenario.parameters | (scenario.soak_parameters if is_soak else {})
    start_s = time.monotonic()
    cfg = scenario
    with reserved_second_octet() as second_octet:
        layout = Layout(
            second_octet,
            cfg.domains,
            cfg.hosts_per_domain,
            cfg.with_relay,
            cfg.sections,
        )
        with running_cluster(layout, log_folder, scenario.store_era) as cluster:
            return asyncio.run(_run(scenario, seed, cluster, parameters, start_s))


async def _run(
    scenario: Scenario,
    seed: int,
    cluster: Cluster,
    parameters: dict[str, float],
    start_s: float,
) -> Result:
    caller = Caller([host.caller_address for host in cluster.layout.hosts])
    recording = Recording(cluster, caller.records)
    run = Run(scenario, cluster, recording, caller, random.Random(seed), parameters)
    await run.start()
    await scenario.body(run)
    caller.close()
    history = recording.history()
    live_nodes = [host.node for host in run.hosts if host.node not in run.disrupted]
    findings = check_history(history, live_nodes, scenario.can_lose_answers)
    findings.items += check_organisations(history).items
    findings.items += check_rollouts(history).items
    findings.items += run.findings.items
    details = [
        line
        for finding in findings.items[:MAX_DESCRIBED_FINDINGS]
        for line in recording.describe(finding.place.partition(" ")[2])
    ]
    return Result(
        scenario.name,
        seed,
        findings,
        measure(history, live_nodes),
        run.recovery_s,
        time.monotonic() - start_s,
        details,
    )


def _has_upstream(host: Host) -> bool:
    """Return whether the worker of a host has announced itself."""
    state = fetch_json(f"http://{host.admin_address}/lentilsill/state")
    return bool(state["upstreams"])
