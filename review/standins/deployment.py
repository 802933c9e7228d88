"""A small deployment of the project's programs on loopback addresses.

The programs start with the commands of the deploy file, on the packages that its build
has put into `target/deps`.
"""

from __future__ import annotations

import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

from siskinshift.observability.event_log import EventLog
from siskinshift.runtime.life_cycle import LifeCycle
from siskinshift.standins.platform_store import PlatformStoreServer
from standins.backend import Backend
from standins.client import Client
from standins.packets import Address
from standins.router import Router
from standins.store_access import StoreAccess


if TYPE_CHECKING:
    from standins.records import Record


ROOT = Path(__file__).resolve().parents[2]
ZONE = "krk-a"
BEAT_MS = 770
STOP_GRACE_S = 6.0
START_TIMEOUT_S = 20.0
ROUTE_HOST = "127.0.9.1"
_PORT_COUNT = 7


class CannotRun(Exception):
    """The case can't be played here."""


class Deployment:
    """Store, nodes, backends, routers and clients.

    Attributes:
        record: What was seen.
        backends: By name of their node.
        log_folder: A log for each node.
    """

    def __init__(self, record: Record, *, fronts: int = 2) -> None:
        """Starts the store; nodes follow with `start` and `add_backend`."""
        if not (ROOT / "target/deps/siskinshift").is_dir():
            raise CannotRun("target/deps has no build of the deploy file")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._commands = {
            role["on"]: shlex.split(role["run"]) for role in deploy["roles"].values()
        }
        self.record = record
        # One folder of 127.0.0.0/8 for each run, so that two runs do not meet.
        self._net = f"127.{random.randrange(16, 250)}"
        self.fronts = [f"{self._net}.1.{n + 1}" for n in range(fronts)]
        ports = _free_ports(self.fronts[0], _PORT_COUNT)
        self.packets_port, self.ready_port, self.control_port = ports[:3]
        self._app, self._outbound, self._inner, _ = ports[3:]
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.log_folder = Path(self._folder.name)
        self.backends: dict[str, Backend] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._hosts = {f"frontend-{n + 1}": h for n, h in enumerate(self.fronts)}
        self._services: dict[str, str] = {}
        self._clients: list[Client] = []
        self._version = 0
        self._life_cycle = LifeCycle(name="store")
        log = EventLog(process="store", clock=time.monotonic, descriptor=os.dup(2))
        self.store = PlatformStoreServer(self._life_cycle, log=log)
        self.store.start()
        # The same store, at a port for the frontend nodes.
        self.front_store = StoreAccess(self._life_cycle, log=log, store=self.store)
        self.front_store.start()
        self.router = Router(
            self.fronts, packets_port=self.packets_port, ready_port=self.ready_port
        )

    def start_fronts(self) -> None:
        """Starts all balancers."""
        for name in [n for n in self._hosts if n.startswith("frontend")]:
            self.start(name)

    def add_backend(self, service: str) -> Backend:
        """Starts a node and its backend on a machine of their own."""
        number = len(self.backends) + 1
        name, host = f"side-{number}", f"{self._net}.2.{number}"
        self._hosts[name], self._services[name] = host, service
        self.start(name)
        self.backends[name] = backend = Backend(
            name,
            host,
            service,
            app=self._app,
            outbound=self._outbound,
            control=self.control_port,
            beat_s=BEAT_MS / 1000,
            record=self.record,
        )
        return backend

    def add_client(self) -> Client:
        """Creates a client at a new address."""
        host = f"{self._net}.3.{len(self._clients) + 1}"
        client = Client(host, self.packets_port, self.router, self.record)
        self._clients.append(client)
        return client

    def write_config(
        self,
        routes: dict[int, str],
        *,
        priority: int = 1,
        idle_timeout_ms: int = 12_000,
    ) -> float:
        """Writes a version as the operator does; returns when it was acknowledged.

        Args:
            routes: Service by port of the route.
            priority: Priority of the routes.
            idle_timeout_ms: The limit of that name.
        """
        self._version += random.randrange(1, 9)
        services = sorted({*routes.values(), *self._services.values()})
        document = {
            "version": self._version,
            "routes": [
                {
                    "name": f"r-{port}",
                    "host": ROUTE_HOST,
                    "prefix": f"/{port}/",
                    "service": service,
                    "type": "non_idempotent",
                    "timeout-ms": 600,
                    "target-latency-ms": 120,
                    "priority": priority,
                    "attempts": 1,
                }
                for port, service in routes.items()
            ],
            "services": [
                {"name": name, "health-path": "/health", "max-conns": 2000}
                for name in services
            ],
            "limits": {"idle-timeout-ms": idle_timeout_ms},
        }
        self.store.put("op/config", json.dumps(document).encode())
        return self.record.add(
            f"config {self._version} is acknowledged: routes {routes}, "
            f"priority {priority}, idle-timeout-ms {idle_timeout_ms}"
        )

    def start(self, name: str) -> None:
        """Starts a node with the command of the deploy file."""
        path = self.log_folder / f"{name}.toml"
        path.write_text(self._settings(name))
        command = self._commands["side" if name in self._services else "frontend"]
        self.record.add(f"{name} is started")
        with (self.log_folder / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                [
                    sys.executable if command[0] == "python3" else command[0],
                    *command[1:],
                ],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "SISKINSHIFT_NODE_FILE": str(path),
                },
                stdout=output,
                stderr=output,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a node."""
        self.record.add(f"{name} gets {number.name}")
        self._processes[name].send_signal(number)

    def wait_until_ended(self, name: str) -> None:
        """Waits for a node after SIGTERM; kills it when its grace is over."""
        try:
            self._processes[name].wait(STOP_GRACE_S)
        except subprocess.TimeoutExpired:
            self._processes[name].kill()
            self._processes[name].wait()
        self.record.add(f"{name} has ended")

    def restart(self, name: str, *, pause: float) -> None:
        """Stops a node as the platform does, and starts it again after a pause."""
        self.signal(name, signal.SIGTERM)
        self.wait_until_ended(name)
        time.sleep(pause)
        self.start(name)

    def kill_all(self) -> None:
        """Kills all nodes at once."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self.record.add("all nodes are killed")

    def start_all(self) -> None:
        """Starts all nodes."""
        for name in self._hosts:
            self.start(name)

    def wait_until_ready(self, *, timeout: float = START_TIMEOUT_S) -> None:
        """Waits until all balancers are ready and all backends get work."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all(self.router.is_ready(host) for host in self.fronts):
                self.record.add("all frontend nodes are ready")
                return
            time.sleep(0.05)
        for name in self._hosts:
            log = (self.log_folder / f"{name}.log").read_text(errors="replace")
            state = self._processes[name].poll()
            self.record.add(f"{name}, exit {state}: {log[-400:]}")
        raise CannotRun("the nodes are not ready in time")

    def host_of(self, name: str) -> str:
        """Returns the address of a node."""
        return self._hosts[name]

    def stop(self) -> None:
        """Ends everything that this deployment has started."""
        for process in self._processes.values():
            process.kill()
            process.wait()
        self.router.stop()
        for backend in self.backends.values():
            backend.stop()
        for client in self._clients:
            client.close_socket()
        self._life_cycle.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for path in self.log_folder.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()

    def _settings(self, name: str) -> str:
        host = self._hosts[name]
        is_side = name in self._services
        store = self.store if is_side else self.front_store
        seeds = [f"{front}:{self.control_port}" for front in self.fronts][:3]
        serves = '["side"]' if is_side else '["frontend", "control_plane"]'
        side = (
            f'service = "{self._services[name]}"\napp = "{host}:{self._app}"\n'
            if is_side
            else ""
        )
        outbound = f'outbound = "{host}:{self._outbound}"\n' if is_side else ""
        return f"""node-name = "{name}"
role = "{"agent" if is_side else "balancer"}"
machine-class = "{"side" if is_side else "frontend"}"
serves = {serves}
ip = "{host}"
zone = "{ZONE}"
region = "krk"
port-range = [{self._inner}, {self._inner + 15}]
seeds = {json.dumps(seeds)}
bootstrap = true
loss-counted = false
discovery = "local"
entry = "announce"
heartbeat-ms = {BEAT_MS}
contracts = ["base", "drain", "config", "cost", "recover", "flows", "platform"]
hash = "steady"
deployment-mode = "agent"
{side}[zones]
{ZONE} = "krk"
[listen]
datagram-addr = "{host}:{self.packets_port}"
readiness-addr = "{host}:{self.ready_port}"
control-plane = "{host}:{self.control_port}"
{outbound}[limits]
cpu-share = {0.645 if is_side else 0.537}
cores = {1 if is_side else 2}
memory-mb = {168 if is_side else 300}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-delay-s = 2
stable-window-ms = 4000
ack-ms = 5000
catchup-s = 4
drain-ms = 3000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-skew-ms = 12000
recovery-s = 12
flow-timeout-ms = 2000
max-flow-s = 60
[platform]
address = "127.0.0.1:{store.port}"
deployment-mode = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
"""


def route(port: int) -> Address:
    """Returns the address of a route."""
    return Address(ROUTE_HOST, port)


def _free_ports(host: str, count: int) -> list[int]:
    ports: set[int] = set()
    while len(ports) < count:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
        ports.add(port)
    return sorted(ports, key=lambda _: random.random())
