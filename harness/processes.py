"""Runs the platform stand-in, relay, nodes and workers as processes."""

import json
import os
import shutil
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .layout import Host, Layout

__all__ = ["Cluster", "Process", "fetch_json", "running_cluster", "wait_until"]

ROOT = Path(__file__).parent.parent
POLL_S = 0.02
START_BOUND_S = 15.0
END_BOUND_S = 10.0
HTTP_TIMEOUT_S = 2.0
LOG_TAIL_LINES = 15


def wait_until(condition: Callable[[], bool], bound_s: float, what: str) -> float:
    """Wait for a condition; give the time in seconds or raise TimeoutError."""
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > bound_s:
            raise TimeoutError(f"{what}: not within {bound_s:g} s")
        time.sleep(POLL_S)
    return time.monotonic() - start


def fetch_json(url: str, body: Any = None, timeout_s: float = HTTP_TIMEOUT_S) -> Any:
    """GET a URL, or POST a JSON body to it; raises OSError on failure."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout_s) as resp:
        text = resp.read()
    try:
        return json.loads(text)
    except ValueError:
        return None


def _answers(url: str) -> bool:
    try:
        fetch_json(url)
    except OSError:
        return False
    return True


@dataclass
class Process:
    """One process that this runner started."""

    name: str
    args: list[str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.popen is not None, f"{self.name} was not started"
        return self.popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        env = os.environ | {"PYTHONPATH": str(ROOT)}
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.args],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.popen is not None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill at once, like a crash."""
        self.send_signal(signal.SIGKILL)
        self.wait(END_BOUND_S)

    def pause(self) -> None:
        """Stop the process without ending it."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a graceful end."""
        self.send_signal(signal.SIGTERM)

    def wait(self, bound_s: float) -> int:
        """Give the exit status; raises TimeoutError after `bound_s` seconds."""
        assert self.popen is not None, f"{self.name} was not started"
        try:
            return self.popen.wait(bound_s)
        except subprocess.TimeoutExpired as exc:
            raise TimeoutError(f"{self.name}: runs after {bound_s:g} s") from exc

    def restart(self) -> None:
        """Kill the process if it runs, and start it again."""
        if self.is_running:
            self.kill()
        self.start()

    def end(self) -> None:
        """Make sure that the process has ended."""
        if self.is_running:
            self.resume()
            self.kill()

    def log_tail(self) -> str:
        """Give the last lines of the log."""
        if not self.log.exists():
            return ""
        text = self.log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-LOG_TAIL_LINES:])


@dataclass
class Cluster:
    """Processes of one run, by name."""

    layout: Layout
    folder: Path
    processes: dict[str, Process] = field(default_factory=dict)

    def start(self, name: str, args: list[str]) -> Process:
        """Start a process of `python -m args`."""
        process = Process(name, args, self.folder / f"{name}.log")
        self.processes[name] = process
        process.start()
        return process

    def start_platform(self, *options: str) -> Process:
        """Start the platform stand-in and wait until it answers."""
        address = self.layout.platform_address
        args = ["standins.platform", "--address", address, *options]
        process = self.start("platform", args)
        self._wait(process, f"{self.layout.platform_url}/standin/counters")
        return process

    def start_relay(self) -> Process:
        """Start the relay and wait until it answers."""
        path = self.folder / "relay.json"
        path.write_text(json.dumps(self.layout.relay_config()), encoding="utf-8")
        control = self.layout.relay_control
        args = ["standins.relay", "--config", str(path), "--control", control]
        process = self.start("relay", args)
        self._wait(process, f"http://{control}/relay/counters")
        return process

    def start_node(self, host: Host) -> Process:
        """Start a node; `wait_ready` waits for it."""
        path = self.folder / f"{host.node}.json"
        path.write_text(json.dumps(self.layout.settings(host)), encoding="utf-8")
        return self.start(
            host.node, ["lentilsill.daemon.main", "--settings", str(path)]
        )

    def start_worker(
        self, host: Host, service: str, number: int, release: str, *options: str
    ) -> Process:
        """Start a worker beside a node; its executions go to a record file."""
        name = f"{service}-{release}-{host.node}"
        address = host.worker_address(number)
        args = ["standins.worker", "--service", service, "--address", address]
        args += ["--admin", host.admin_address, "--upstream", name]
        args += ["--labels", f"release={release}"]
        args += ["--record", str(self.folder / f"{name}.executions"), *options]
        return self.start(name, args)

    def wait_ready(self, host: Host, bound_s: float = START_BOUND_S) -> None:
        """Wait until a node takes calls."""
        url = f"http://{host.admin_address}/lentilsill/ready"
        self._wait(self.processes[host.node], url, bound_s)

    def set_faults(self, **faults: Any) -> None:
        """Set the faults of the platform stand-in."""
        fetch_json(f"{self.layout.platform_url}/standin/faults", faults)

    def set_rule(self, source: str, to: str, **rule: Any) -> None:
        """Set a rule of the relay."""
        body = {"from": source, "to": to} | rule
        fetch_json(f"http://{self.layout.relay_control}/relay/rules", body)

    def executions(self) -> list[dict[str, Any]]:
        """Read the executions of all workers, of crashed ones too."""
        return [
            json.loads(line)
            for path in sorted(self.folder.glob("*.executions"))
            for line in path.read_text(encoding="utf-8").splitlines()
        ]

    def end(self) -> None:
        """End every process that is left."""
        for process in reversed(self.processes.values()):
            process.end()

    def _wait(self, process: Process, url: str, bound_s: float = START_BOUND_S) -> None:
        def is_up() -> bool:
            if not process.is_running:
                tail = process.log_tail()
                raise RuntimeError(f"{process.name} ended at its start:\n{tail}")
            return _answers(url)

        wait_until(is_up, bound_s, f"{process.name}: {url}")


@contextmanager
def running_cluster(
    layout: Layout, log_folder: Path | None = None
) -> Iterator[Cluster]:
    """Run the platform and, if the layout has it, the relay.

    Nodes and workers are started by the caller. All processes are ended and
    the folder is removed on exit, after its logs are copied to `log_folder`.
    """
    with TemporaryDirectory(prefix="lentilsill-") as folder:
        cluster = Cluster(layout, Path(folder))
        try:
            cluster.start_platform()
            if layout.with_relay:
                cluster.start_relay()
            yield cluster
        finally:
            cluster.end()
            if log_folder is not None:
                log_folder.mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    shutil.copy(log, log_folder)
