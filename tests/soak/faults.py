"""The faults of the soak, injected into real processes from the outside.

A soak draws from FAULT_KINDS, whose order is the order of registration below.
"""

from __future__ import annotations

import signal
import threading
import time
from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.connections.registration import MEMBERS_PREFIX
from siskinshift.connections.registration import member_key
from siskinshift.messages.core import Role
from siskinshift.platform.evacuations import EVACUATIONS_PREFIX
from tests.connections.deployment import PORTS_BY_SERVICE
from tests.soak.plan import FaultKind
from tests.soak.proxy import LinkFault


if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.soak.plan import Step
    from tests.soak.soak import Soak


HOSTS_BY_BALANCER = {"balancer-1": "127.0.1.1", "balancer-2": "127.0.1.2"}
# Host and service of each instance.
INSTANCES_BY_NAME = {
    "editor-1": ("127.0.2.1", "editor"),
    "editor-2": ("127.0.2.2", "editor"),
    "editor-3": ("127.0.2.3", "editor"),
    "dossiers-1": ("127.0.2.4", "dossiers"),
}
NODES = (*HOSTS_BY_BALANCER, *INSTANCES_BY_NAME)
# All other instances are in the failure domain of the balancers.
REMOTE_DOMAIN = "b"
REMOTE_INSTANCES = ("editor-3", "dossiers-1")
# Shutdown grace period before the platform kills a node, plus a margin.
SHUTDOWN_TIMEOUT_SECONDS = 6.5
# Time for which a leaving upstream continues to run.
LEAVE_SECONDS = 5.0
LINK_FAULT_NAMES = tuple(x.name for x in LinkFault if x is not LinkFault.NONE)
# About 45 KB as encoded by the store, which a thin link transfers in 3 s.
UNUSED_ROUTE_COUNT = 200
# Values that other products may write under prefixes of this system.
FOREIGN_VALUES_BY_VARIANT = {
    "empty": b"",
    "binary": b"\xff\x00\xfe",
    "list": b"[1, 2]",
    "port": b'{"member_id": "x", "role": "agent", "port": 99999}',
}

# Delays of the writes that the store applies late, seconds.
LATE_DELAYS_BY_VARIANT = {
    "one": (2.0,),
    "reordered": (3.0, 1.5, 0.3),
    "many": (4.0, 0.2, 2.5, 1.0, 3.5, 0.6),
}
REFUSAL_DURING_LEAVE_SECONDS = 2.5

Injector: TypeAlias = "Callable[[Soak, Step], None]"

FAULT_KINDS: list[FaultKind] = []
INJECTORS_BY_KIND: dict[str, Injector] = {}


def register_fault(
    *,
    targets: tuple[str, ...] = (),
    max_targets: int = 1,
    max_duration_seconds: float = 0.0,
    variants: tuple[str, ...] = ("",),
) -> Callable[[Injector], Injector]:
    """Registers a fault under the name of its function; see FaultKind."""

    def register(injector: Injector) -> Injector:
        name = injector.__name__
        FAULT_KINDS.append(
            FaultKind(name, targets, max_targets, max_duration_seconds, variants)
        )
        INJECTORS_BY_KIND[name] = injector
        return injector

    return register


@register_fault(targets=NODES, max_targets=3, max_duration_seconds=0.5)
def kill(soak: Soak, step: Step) -> None:
    """Kills processes at once and restarts them."""
    for name in step.targets:
        soak.deployment.kill(name)
    time.sleep(step.duration_seconds)
    for name in step.targets:
        soak.deployment.start(name)


@register_fault(targets=NODES)
def terminate(soak: Soak, step: Step) -> None:
    """Sends SIGTERM to a process; the next fault may overlap with its shutdown."""
    name = step.targets[0]
    soak.deployment.signal(name, signal.SIGTERM)
    threading.Thread(target=_restart_after_exit, args=(soak, name), daemon=True).start()


@register_fault(targets=NODES, max_duration_seconds=1.5)
def pause(soak: Soak, step: Step) -> None:
    """Suspends a process."""
    soak.deployment.signal(step.targets[0], signal.SIGSTOP)
    time.sleep(step.duration_seconds)
    soak.deployment.signal(step.targets[0], signal.SIGCONT)


@register_fault(targets=NODES, max_targets=3)
def hang_up(soak: Soak, step: Step) -> None:
    """Sends SIGHUP to processes, which makes them reload their settings."""
    for name in step.targets:
        soak.deployment.signal(name, signal.SIGHUP)


@register_fault(targets=tuple(INSTANCES_BY_NAME))
def replace_upstream(soak: Soak, step: Step) -> None:
    """Crashes an upstream and starts another one in its place."""
    soak.replace_upstream(step.targets[0], keeps_id=False)


@register_fault(targets=tuple(INSTANCES_BY_NAME), max_targets=2)
def restart_upstream(soak: Soak, step: Step) -> None:
    """Crashes upstreams and restarts them under their former ids."""
    for name in step.targets:
        soak.replace_upstream(name, keeps_id=True)


@register_fault(
    targets=tuple(INSTANCES_BY_NAME),
    max_duration_seconds=2.0,
    variants=("new id", "same id"),
)
def drain(soak: Soak, step: Step) -> None:
    """Drains an upstream, then replaces it."""
    name = step.targets[0]
    soak.deployment.instances_by_name[name].state = "draining"
    time.sleep(step.duration_seconds)
    soak.replace_upstream(name, keeps_id=step.variant == "same id")


@register_fault(
    targets=tuple(INSTANCES_BY_NAME),
    max_duration_seconds=0.5,
    variants=tuple(
        f"{store} {signal}".strip()
        for store in ("", "late", "lost", "refused")
        for signal in ("kill", "terminate", "")
    ),
)
def leave(soak: Soak, step: Step) -> None:
    """Lets an upstream leave while its agent restarts; later faults overlap.

    The store may be disturbed meanwhile, beyond the restart of the agent.
    """
    name = step.targets[0]
    incarnation = soak.deployment.instances_by_name[name].incarnation
    words = step.variant.split()
    if "late" in words:
        _delay_writes(soak, LATE_DELAYS_BY_VARIANT["reordered"])
    if "lost" in words:
        soak.deployment.store.state.faults.lose_responses = 2
    if "refused" in words:
        threading.Thread(target=_refuse_during_leave, args=(soak,), daemon=True).start()
    soak.leave(name)
    if words and words[-1] in INJECTORS_BY_KIND:
        INJECTORS_BY_KIND[words[-1]](soak, step)
    threading.Thread(
        target=_replace_after_leave, args=(soak, name, incarnation), daemon=True
    ).start()


@register_fault(
    max_duration_seconds=2.0, variants=("429", "503", "429 lapse", "503 lapse")
)
def refuse(soak: Soak, step: Step) -> None:
    """Makes the store refuse all requests; with "lapse", all leases expire as well."""
    state = soak.deployment.store.state
    status, _, lapse = step.variant.partition(" ")
    state.faults.rejection_status = int(status)
    time.sleep(step.duration_seconds)
    if lapse:
        state.expire_all_leases()
    state.faults.rejection_status = 0


@register_fault(targets=NODES)
def revoke(soak: Soak, step: Step) -> None:
    """Removes a member's entry from the store without waking watches."""
    name = step.targets[0]
    role = Role.AGENT if name in INSTANCES_BY_NAME else Role.BALANCER
    soak.deployment.store.state.revoke(member_key(name, role))


@register_fault()
def expire(soak: Soak, step: Step) -> None:
    """Expires all leases."""
    soak.deployment.store.state.expire_all_leases()


@register_fault()
def compact(soak: Soak, step: Step) -> None:
    """Drops the history of the store and changes the configuration."""
    soak.deployment.store.state.compact()
    soak.deployment.configure(PORTS_BY_SERVICE)


@register_fault(variants=("0", "40", str(UNUSED_ROUTE_COUNT)))
def grow(soak: Soak, step: Step) -> None:
    """Makes the configuration longer or shorter by routes that no caller uses."""
    soak.deployment.configure(PORTS_BY_SERVICE, unused=int(step.variant))


@register_fault(variants=("1", "2", "3"))
def lose_answers(soak: Soak, step: Step) -> None:
    """Makes the store apply writes without sending responses."""
    soak.deployment.store.state.faults.lose_responses = int(step.variant)


@register_fault(variants=tuple(LATE_DELAYS_BY_VARIANT))
def delay_writes(soak: Soak, step: Step) -> None:
    """Makes the store apply writes late, without responses; later faults overlap."""
    _delay_writes(soak, LATE_DELAYS_BY_VARIANT[step.variant])


@register_fault(max_duration_seconds=1.0, variants=("1", "4", "4 twice"))
def restore(soak: Soak, step: Step) -> None:
    """Restores the store from a copy some seconds old, once or twice in a row."""
    age, _, twice = step.variant.partition(" ")
    for _ in range(2 if twice else 1):
        soak.restore_store(age=float(age), pause=step.duration_seconds)


@register_fault(
    targets=NODES,
    max_targets=6,
    max_duration_seconds=3.0,
    variants=LINK_FAULT_NAMES,
)
def cut_store(soak: Soak, step: Step) -> None:
    """Injects a fault into the connections of some nodes to the store."""
    soak.set_link_fault(step.targets, LinkFault[step.variant])
    time.sleep(step.duration_seconds)
    soak.set_link_fault(step.targets, LinkFault.NONE)


@register_fault(
    max_duration_seconds=0.5, variants=("order", "order", "back", "order back order")
)
def evacuate(soak: Soak, step: Step) -> None:
    """Evacuates a domain, ends its evacuation, or both; later faults overlap."""
    for change in step.variant.split():
        soak.evacuate(is_evacuated=change == "order")
        time.sleep(step.duration_seconds)


@register_fault(variants=tuple(FOREIGN_VALUES_BY_VARIANT))
def foreign_evacuation(soak: Soak, step: Step) -> None:
    """Writes a foreign value under the prefix of evacuations."""
    key = f"{EVACUATIONS_PREFIX}a/{step.variant}"
    soak.deployment.store.put(key, FOREIGN_VALUES_BY_VARIANT[step.variant])


@register_fault(variants=tuple(FOREIGN_VALUES_BY_VARIANT))
def foreign_entry(soak: Soak, step: Step) -> None:
    """Writes a foreign value under the prefix of members."""
    key = f"{MEMBERS_PREFIX}{step.variant}"
    soak.deployment.store.put(key, FOREIGN_VALUES_BY_VARIANT[step.variant])


@register_fault(
    targets=tuple(INSTANCES_BY_NAME),
    variants=("state", "capacity", "seq", "service", "bytes"),
)
def foreign_heartbeat(soak: Soak, step: Step) -> None:
    """Sends a heartbeat with one invalid field, as another product might."""
    soak.deployment.instances_by_name[step.targets[0]].send_malformed(step.variant)


def _delay_writes(soak: Soak, delays: tuple[float, ...]) -> None:
    soak.deployment.store.state.faults.late_write_delays = list(delays)


def _refuse_during_leave(soak: Soak) -> None:
    faults = soak.deployment.store.state.faults
    started_at = time.monotonic()
    faults.rejection_status = 503
    time.sleep(REFUSAL_DURING_LEAVE_SECONDS)
    faults.rejection_status = 0
    soak.store_faults.record("refuse", started_at, time.monotonic())


def _replace_after_leave(soak: Soak, name: str, incarnation: int) -> None:
    time.sleep(LEAVE_SECONDS)
    instance = soak.deployment.instances_by_name[name]
    if instance.incarnation == incarnation and not soak.is_stopping:
        soak.replace_upstream(name, keeps_id=False)


def _restart_after_exit(soak: Soak, name: str) -> None:
    process = soak.deployment.processes_by_name[name]
    try:
        process.wait(SHUTDOWN_TIMEOUT_SECONDS)
    except Exception:
        soak.record_violation(f"{name} did not exit within its shutdown grace period")
        process.kill()
        process.wait()
    is_current = process is soak.deployment.processes_by_name[name]
    if is_current and not soak.is_stopping:
        soak.deployment.start(name)
