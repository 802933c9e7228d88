"""A small deployment of real processes on the loopback interface."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from random import Random
from typing import TYPE_CHECKING

import orjson

from siskinshift.connections.segment import pack_service_address
from siskinshift.core.clocks import unix_milliseconds
from siskinshift.observability.event_log import EventLog
from siskinshift.platform.configuration import CONFIGURATION_KEY
from siskinshift.platform.evacuations import EVACUATIONS_PREFIX
from siskinshift.platform.settings import PATH_VARIABLE
from siskinshift.runtime.event_loop import open_datagram_socket
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.life_cycle import LifeCycle
from siskinshift.standins.connection_ends import ConnectionCaller
from siskinshift.standins.connection_ends import ConnectionUpstream
from siskinshift.standins.platform_store import PlatformStoreServer


if TYPE_CHECKING:
    from pathlib import Path


# Time for a process to start on a busy machine.
WAIT_SECONDS = 30.0
HEARTBEAT_SECONDS = 0.2
SERVICE_HOST = "198.18.0.1"
UNUSED_HOST = "198.18.9.9"
PORTS_BY_SERVICE = {"editor": 443, "dossiers": 80}


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free on the first host; all hosts use the same ones."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port not in ports:
            ports.append(port)
    return ports


class Instance:
    """An instance with an upstream that sends heartbeats."""

    def __init__(self, deployment: Deployment, name: str, host: str, service: str):
        self.name = name
        self.host = host
        self.service = service
        self._deployment = deployment
        self._sequence = 0
        # The agent ignores the second of two heartbeats with one sequence number.
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.state = "ready"
        self.is_silent = False
        self.incarnation = 0
        self.started_ms = unix_milliseconds()
        self.upstream = self._new_upstream()
        self._thread = threading.Thread(target=self._send_heartbeats, daemon=True)
        self._thread.start()

    @property
    def upstream_id(self) -> str:
        return f"{self.name}-u{self.incarnation}"

    def replace_upstream(self, *, keeps_id: bool = False) -> None:
        """Crashes and restarts the upstream, with the same id or a new one."""
        self.upstream.stop()
        if not keeps_id:
            self.incarnation += 1
        self.started_ms = max(self.started_ms + 1, unix_milliseconds())
        self._sequence = 0
        self.state = "ready"
        self.upstream = self._new_upstream()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()
        self.upstream.stop()

    def send(self, kind: str) -> int:
        """Sends a heartbeat or a deregistration; returns the status, 0 for none."""
        with self._lock:
            self._sequence += 1
            body = self._body()
        return self._post(kind, orjson.dumps(body))

    def send_malformed(self, field: str) -> int:
        """Sends a heartbeat with one invalid field; returns the status."""
        wrong_by_field: dict[str, object] = {
            "state": "asleep",
            "capacity": "1",
            "seq": True,
            "service": 7,
        }
        if field not in wrong_by_field:
            return self._post("Heartbeat", b"\xff{")
        body = self._body() | {"seq": 1 << 40, field: wrong_by_field[field]}
        return self._post("Heartbeat", orjson.dumps(body))

    def _body(self) -> dict[str, object]:
        return {
            "service": self.service,
            "address": f"{self.host}:{self._deployment.app_port}",
            "zone": "a",
            "version": "v1",
            "capacity": 1,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self._sequence,
            "born": self.started_ms,
        }

    def _post(self, kind: str, body: bytes) -> int:
        client = HttpClient(
            self.host, self._deployment.control_port, connect_timeout=0.5
        )
        target = f"/Instances.{kind}/{self.upstream_id}"
        try:
            return client.request("POST", target, body, timeout=1.0).status
        except OSError:
            return 0
        finally:
            client.close()

    def _new_upstream(self) -> ConnectionUpstream:
        upstream = ConnectionUpstream(
            self.upstream_id,
            address=(self.host, self._deployment.app_port),
            outlet=(self.host, self._deployment.outlet_port),
            random=self._deployment.random,
        )
        upstream.start()
        return upstream

    def _send_heartbeats(self) -> None:
        while not self._stopping.wait(HEARTBEAT_SECONDS):
            if not self.is_silent:
                self.send("Heartbeat")


class Deployment:
    """The store, processes, upstreams and callers."""

    def __init__(self, folder: Path, *, seed: int = 1, era: int | None = None) -> None:
        self.random = Random(seed)
        self.folder = folder
        self.life_cycle = LifeCycle(name="stand-ins")
        log = EventLog(process="stand-ins", clock=time.monotonic, descriptor=os.dup(2))
        self.store = PlatformStoreServer(self.life_cycle, log=log, era=era)
        self.store.start()
        ports = _free_ports(["127.0.0.1"], 6)
        self.caller_port, self.ready_port, self.control_port = ports[:3]
        self.app_port, self.outlet_port, self.peer_port = ports[3:]
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.instances_by_name: dict[str, Instance] = {}
        self.balancer_hosts: dict[str, str] = {}
        # Ports of the store for nodes that do not use its own port.
        self.store_ports_by_name: dict[str, int] = {}
        # Failure domains of nodes that are not in the first one.
        self._domains_by_name: dict[str, str] = {}
        self._caller_sockets: list[socket.socket] = []
        self._next_port = 20_000
        self._version = 0
        self.configure(PORTS_BY_SERVICE)

    def configure(self, ports_by_service: dict[str, int], *, unused: int = 0) -> int:
        """Writes a configuration as the operator does; returns its version.

        Args:
            ports_by_service: Ports of the services' routes.
            unused: Further routes that no caller uses.
        """
        self._version += 3
        rows = [
            (f"r-{service}", SERVICE_HOST, port, service)
            for service, port in ports_by_service.items()
        ]
        first = next(iter(ports_by_service))
        rows += [(f"u-{n}", UNUSED_HOST, n + 1, first) for n in range(unused)]
        routes = [
            {
                "name": name,
                "host": host,
                "prefix": f"/{port}/",
                "type": "idempotent",
                "timeout-ms": 500,
                "target-latency-ms": 100,
                "priority": 1,
                "service": service,
            }
            for name, host, port, service in rows
        ]
        document = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "health-path": "/health"} for name in ports_by_service
            ],
            "limits": {"idle-timeout-ms": 15000},
        }
        self.store.put(CONFIGURATION_KEY, orjson.dumps(document))
        return self._version

    def add_balancer(self, name: str, host: str) -> None:
        """Starts a balancer."""
        self.balancer_hosts[name] = host
        self.start(name)

    def evacuate(self, domain: str) -> None:
        """Evacuates a failure domain as the operator does."""
        self.store.put(EVACUATIONS_PREFIX + domain, b"{}")

    def end_evacuation(self, domain: str) -> None:
        """Ends the evacuation of a failure domain."""
        self.store.revoke(EVACUATIONS_PREFIX + domain)

    def add_instance(
        self, name: str, host: str, service: str, *, domain: str = "a"
    ) -> Instance:
        """Starts an upstream and its agent."""
        self._domains_by_name[name] = domain
        instance = Instance(self, name, host, service)
        self.instances_by_name[name] = instance
        self.start(name)
        return instance

    def start(self, name: str) -> None:
        """Starts or restarts a process."""
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name))
        role = "balancer" if name in self.balancer_hosts else "agent"
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", "siskinshift.connections", role],
                env=os.environ
                | {
                    "PYTHONPATH": os.pathsep.join(sys.path),
                    PATH_VARIABLE: str(path),
                },
                stdout=output,
                stderr=output,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this deployment started."""
        self.processes_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has ended."""
        self.signal(name, signal.SIGKILL)
        self.processes_by_name[name].wait()

    def is_ready(self, name: str) -> bool:
        """Requests the readiness of a process."""
        host = self._host(name)
        client = HttpClient(host, self.ready_port, connect_timeout=0.5)
        try:
            return client.request("GET", "/ready", timeout=0.5).status == 200
        except OSError:
            return False
        finally:
            client.close()

    def wait_until_ready(self, *names: str) -> None:
        """Waits until processes report that they are ready."""
        until = time.monotonic() + WAIT_SECONDS
        for name in names or tuple(self.processes_by_name):
            while not self.is_ready(name):
                assert time.monotonic() < until, f"{name} is not ready"
                time.sleep(0.02)

    def caller(
        self,
        service: str,
        balancer: str,
        *,
        host: str,
        port: int = 0,
        unused: int = -1,
    ) -> ConnectionCaller:
        """Creates a caller with a flow.

        Args:
            service: Service of the flow.
            balancer: Balancer to which routers send its packets.
            host: Host of the caller.
            port: Port of the caller; 0 for a new one.
            unused: Number of a route that no other caller uses; none below 0.
        """
        caller_socket = open_datagram_socket(host, self.caller_port)
        self._caller_sockets.append(caller_socket)
        if not port:
            self._next_port += 1
            port = self._next_port
        address = pack_service_address(SERVICE_HOST, PORTS_BY_SERVICE[service])
        if unused >= 0:
            address = pack_service_address(UNUSED_HOST, unused + 1)
        flow = (
            port.to_bytes(2, "big") + address[:4] + socket.inet_aton(host) + address[4:]
        )
        router = (self.balancer_hosts[balancer], self.caller_port)
        return ConnectionCaller(
            sock=caller_socket, router=router, flow=flow, random=self.random
        )

    @property
    def caller_count(self) -> int:
        """Number of callers that were created so far."""
        return len(self._caller_sockets)

    def log_lines(self, name: str) -> list[dict[str, object]]:
        """Returns the log lines that a process has written so far."""
        text = (self.folder / f"{name}.log").read_bytes()
        return [orjson.loads(x) for x in text.splitlines() if x.startswith(b"{")]

    def stop(self) -> None:
        """Stops everything that this deployment started."""
        for process in self.processes_by_name.values():
            process.kill()
            process.wait()
        for instance in self.instances_by_name.values():
            instance.stop()
        for caller_socket in self._caller_sockets:
            caller_socket.close()
        self.life_cycle.stop()

    def _host(self, name: str) -> str:
        return self.balancer_hosts.get(name) or self.instances_by_name[name].host

    def _settings(self, name: str) -> str:
        host = self._host(name)
        instance = self.instances_by_name.get(name)
        seeds = [f"{h}:{self.control_port}" for h in self.balancer_hosts.values()]
        upstream_settings = (
            f"""
app = "{host}:{self.app_port}"
service = "{instance.service}"
"""
            if instance
            else ""
        )
        outlet = f'outbound = "{host}:{self.outlet_port}"' if instance else ""
        return f"""
node-name = "{name}"
ip = "{host}"
zone = "{self._domains_by_name.get(name, "a")}"
region = "r"
port-range = [{self.peer_port}, {self.peer_port + 1}]
seeds = {orjson.dumps(seeds[:3]).decode()}
heartbeat-ms = {HEARTBEAT_SECONDS * 1000}
{upstream_settings}
[listen]
datagram-addr = "{host}:{self.caller_port}"
readiness-addr = "{host}:{self.ready_port}"
control-plane = "{host}:{self.control_port}"
{outlet}
[bounds]
grace-s = 6
[limits]
link-mbps = 1000.0
[platform]
address = "127.0.0.1:{self.store_ports_by_name.get(name, self.store.port)}"
min-ttl-ms = 100
"""
