"""Runs the platform stand-in, the relay, nodes and workers as processes."""

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
POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 15.0
END_TIMEOUT_S = 10.0
HTTP_TIMEOUT_S = 2.0
LOG_TAIL_LINES = 15


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> float:
    """Wait for a condition; return the seconds waited, or raise TimeoutError."""
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > timeout_s:
            raise TimeoutError(f"{what}: not within {timeout_s:g} s")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - start_s


def fetch_json(url: str, body: Any = None, timeout_s: float = HTTP_TIMEOUT_S) -> Any:
    """GET a URL, or POST a JSON body to it; None if the response isn't JSON.

    Raises OSError when the request fails.
    """
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout_s) as resp:
        text = resp.read()
    try:
        return json.loads(text)
    except ValueError:
        return None


def _is_answering(url: str) -> bool:
    try:
        fetch_json(url)
    except OSError:
        return False
    return True


@dataclass
class Process:
    """A Python process, its command line and its log file."""

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
        """Start the process and append its output to the log."""
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

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.popen is not None:
            self.popen.send_signal(signum)

    def kill(self) -> None:
        """Kill the process with SIGKILL, as in a crash, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.wait(END_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the exit status; raises TimeoutError after `timeout_s` seconds."""
        assert self.popen is not None, f"{self.name} was not started"
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise TimeoutError(
                f"{self.name}: still running after {timeout_s:g} s"
            ) from exc

    def restart(self) -> None:
        """Kill the process if it runs, and start it again."""
        if self.is_running:
            self.kill()
        self.start()

    def end(self) -> None:
        """Kill the process if it is still running, also when it is suspended."""
        if self.is_running:
            self.resume()
            self.kill()

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        if not self.log.exists():
            return ""
        text = self.log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-LOG_TAIL_LINES:])


@dataclass
class Cluster:
    """The processes of one run, by name."""

    layout: Layout
    folder: Path
    processes: dict[str, Process] = field(default_factory=dict)

    def start(self, name: str, args: list[str]) -> Process:
        """Start `python -m` with these arguments as a process."""
        process = Process(name, args, self.folder / f"{name}.log")
        self.processes[name] = process
        process.start()
        return process

    def start_platform(self, *options: str) -> Process:
        """Start the platform stand-in and wait until it answers."""
        address = self.layout.platform_address
        args = ["standins.platform", "--address", address, *options]
        process = self.start("platform", args)
        self._wait_until_up(process, f"{self.layout.platform_url}/standin/counters")
        return process

    def start_relay(self) -> Process:
        """Start the relay and wait until it answers."""
        path = self.folder / "relay.json"
        path.write_text(json.dumps(self.layout.relay_config()), encoding="utf-8")
        control = self.layout.relay_control
        args = ["standins.relay", "--config", str(path), "--control", control]
        process = self.start("relay", args)
        self._wait_until_up(process, f"http://{control}/relay/counters")
        return process

    def start_node(self, host: Host) -> Process:
        """Start a node, without waiting until it is ready (see `wait_ready`)."""
        path = self.folder / f"{host.node}.json"
        path.write_text(json.dumps(self.layout.settings(host)), encoding="utf-8")
        return self.start(
            host.node, ["lentilsill.daemon.main", "--settings", str(path)]
        )

    def start_worker(
        self, host: Host, service: str, number: int, release: str, *options: str
    ) -> Process:
        """Start a worker on a node's host; it writes its executions to a file."""
        name = f"{service}-{release}-{host.node}"
        address = host.worker_address(number)
        args = ["standins.worker", "--service", service, "--address", address]
        args += ["--admin", host.admin_address, "--upstream", name]
        args += ["--labels", f"release={release}"]
        args += ["--record", str(self.folder / f"{name}.executions"), *options]
        return self.start(name, args)

    def wait_ready(self, host: Host, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a node accepts calls."""
        url = f"http://{host.admin_address}/lentilsill/ready"
        self._wait_until_up(self.processes[host.node], url, timeout_s)

    def set_faults(self, **faults: Any) -> None:
        """Set the faults of the platform stand-in."""
        fetch_json(f"{self.layout.platform_url}/standin/faults", faults)

    def set_rule(self, source: str, to: str, **rule: Any) -> None:
        """Set a rule of the relay."""
        body = {"from": source, "to": to} | rule
        fetch_json(f"http://{self.layout.relay_control}/relay/rules", body)

    def executions(self) -> list[dict[str, Any]]:
        """Read the executions of all workers, including crashed ones."""
        return [
            json.loads(line)
            for path in sorted(self.folder.glob("*.executions"))
            for line in path.read_text(encoding="utf-8").splitlines()
        ]

    def end(self) -> None:
        """Kill all processes that are still running."""
        for process in reversed(self.processes.values()):
            process.end()

    def _wait_until_up(
        self, process: Process, url: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        def is_up() -> bool:
            if not process.is_running:
                tail = process.log_tail()
                raise RuntimeError(f"{process.name} ended during startup:\n{tail}")
            return _is_answering(url)

        wait_until(is_up, timeout_s, f"{process.name}: {url}")


@contextmanager
def running_cluster(
    layout: Layout, log_folder: Path | None = None, store_era: int = 0
) -> Iterator[Cluster]:
    """Run the platform stand-in and, if the layout has one, the relay.

    The code in the context starts nodes and workers. On exit, all processes
    are killed, the logs are copied to `log_folder` and the folder of the run is
    removed.
    """
    with TemporaryDirectory(prefix="lentilsill-") as folder:
        cluster = Cluster(layout, Path(folder))
        try:
            cluster.start_platform("--era", str(store_era))
            if layout.with_relay:
                cluster.start_relay()
            yield cluster
        finally:
            cluster.end()
            if log_folder is not None:
                log_folder.mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    shutil.copy(log, log_folder)
