"""Measures the calls to the key-value store by number of balancers.

The production configuration readers run on an injected clock. Membership is a view
that all of them receive a second after a change. The same run also measures the
baseline in which every balancer reads and watches the store itself.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs
import orjson
from attrs import asdict
from attrs import define
from attrs import frozen

from siskinshift.configuration.reader import ConfigurationReader
from siskinshift.core.views import make_view
from siskinshift.kv.etcd import EtcdStore
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.settings.loader import SettingsLoader
from siskinshift.standins.kv_direct import DirectTransport
from siskinshift.standins.kv_state import KvState


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.kv.port import Watch
    from siskinshift.settings.generated import KvSettings


BALANCER_COUNTS = (3, 30, 300, 810)
FAILURE_DOMAIN_COUNT = 4
TICK_SECONDS = 0.1
START_SECONDS = 60.0
QUIET_SECONDS = 120.0
OUTAGE_SECONDS = 120.0
RECOVERY_SECONDS = 60.0
SEED = 11

SETTINGS_TEXT = """
[node]
node_id = balancer
control_endpoint = 127.0.0.1:0
data_endpoint = 127.0.0.1:0
[keys]
current = bench-key-of-sixteen-or-more
[kv]
entry_slots = {slots}
"""


@frozen
class CallFigures:
    """Calls per second at the store; opening a watch counts as one call.

    Attributes:
        way: Strategy: "entry slots" or "every balancer".
        balancers: Number of balancers.
        holders: Balancers that read from the store after the start.
        start_peak: Largest rate while all balancers start at once.
        quiet: Mean rate in the steady state.
        outage: Mean rate of attempted calls while the store is unavailable.
        back_peak: Largest rate after the store is available again.
        holders_back: Balancers that read from the store a minute after that.
    """

    way: str
    balancers: int
    holders: int
    start_peak: int
    quiet: float
    outage: float
    back_peak: int
    holders_back: int


@define
class _Balancer:
    member: Member
    reader: ConfigurationReader


class _Fleet:
    """Balancers that share one store and one clock."""

    def __init__(self, *, kv: KvSettings, size: int, domains: int) -> None:
        self.now = 1000.0
        self.state = KvState(self.clock)
        self._kv = kv
        self._domains = domains
        self._is_view_outdated = True
        self._watches: list[tuple[float, Callable[[Watch], None], Watch]] = []
        self._balancers: list[_Balancer] = []
        for number in range(size):
            self._balancers.append(self._make_balancer(number))

    def clock(self) -> float:
        return self.now

    def run(self, seconds: float) -> list[int]:
        """Advances the clock and returns the number of calls in each second."""
        counts: list[int] = []
        ticks_per_second = round(1 / TICK_SECONDS)
        for tick in range(round(seconds / TICK_SECONDS)):
            if tick % ticks_per_second == 0:
                counts.append(0)
                self._publish()
            before = sum(self.state.request_counts_by_path.values())
            self._end_expired_watches()
            for balancer in self._balancers:
                balancer.reader.step()
            counts[-1] += sum(self.state.request_counts_by_path.values()) - before
            self.now += TICK_SECONDS
        return counts

    def slot_holder_count(self) -> int:
        return sum(balancer.reader.holds_slot() for balancer in self._balancers)

    def _make_balancer(self, number: int) -> _Balancer:
        member = Member(
            member_id=f"balancer-{number}",
            role=Role.BALANCER,
            incarnation=1,
            version=1,
            state=MemberState.READY,
            region="region-1",
            failure_domain=f"fd-{number % self._domains}",
            control=Endpoint("127.0.0.1", 1),
            data=Endpoint("127.0.0.1", 2),
        )

        def announce(revision: int) -> None:
            entry = self._balancers[number]
            entry.member = attrs.evolve(entry.member, entry_slot=revision)
            self._is_view_outdated = True

        reader = ConfigurationReader(
            settings=self._kv,
            store=EtcdStore(
                self._kv, transport=DirectTransport(self.state), clock=self.clock
            ),
            member=member,
            on_services=len,
            on_entry_slot=announce,
            spawn=self._defer_watch,
            clock=self.clock,
            random=Random(SEED * 1000 + number),
        )
        return _Balancer(member, reader)

    def _defer_watch(self, task: Callable[[Watch], None], watch: Watch) -> None:
        # A real watch waits in a thread and ends after watch_interval without events.
        self._watches.append((self.now + self._kv.watch_interval, task, watch))

    def _end_expired_watches(self) -> None:
        expired = [watch for watch in self._watches if watch[0] <= self.now]
        self._watches = [watch for watch in self._watches if watch[0] > self.now]
        for _, task, watch in expired:
            task(watch)

    def _publish(self) -> None:
        if not self._is_view_outdated:
            return
        self._is_view_outdated = False
        members = [balancer.member for balancer in self._balancers]
        view = make_view(version=1, services=(), members=members)
        for balancer in self._balancers:
            balancer.reader.update(view)


def measure(size: int, *, strategy: str) -> CallFigures:
    """Measures one fleet during start, steady state, outage and recovery of the store.

    Args:
        size: Number of balancers.
        strategy: "entry slots", or "every balancer", in which each balancer has its own
            failure domain with one slot.

    Returns:
        The figures.
    """
    is_every_balancer = strategy == "every balancer"
    text = SETTINGS_TEXT.format(slots=1 if is_every_balancer else 2)
    kv = SettingsLoader(source="bench").load(text).kv
    fleet = _Fleet(
        kv=kv,
        size=size,
        domains=size if is_every_balancer else min(FAILURE_DOMAIN_COUNT, size),
    )
    start_rates = fleet.run(START_SECONDS)
    holders = fleet.slot_holder_count()
    quiet_rates = fleet.run(QUIET_SECONDS)
    fleet.state.faults.down = True
    outage_rates = fleet.run(OUTAGE_SECONDS)
    fleet.state.faults.down = False
    recovery_rates = fleet.run(RECOVERY_SECONDS)
    return CallFigures(
        way=strategy,
        balancers=size,
        holders=holders,
        start_peak=max(start_rates),
        quiet=round(sum(quiet_rates) / len(quiet_rates), 1),
        outage=round(sum(outage_rates) / len(outage_rates), 1),
        back_peak=max(recovery_rates),
        holders_back=fleet.slot_holder_count(),
    )


def main() -> None:
    """Prints a table and JSON."""
    figures = [
        measure(size, strategy=strategy)
        for strategy in ("entry slots", "every balancer")
        for size in BALANCER_COUNTS
    ]
    names = [attribute.name for attribute in attrs.fields(CallFigures)]
    print(" ".join(f"{name:>14}" for name in names))
    for row in figures:
        print(" ".join(f"{value:>14}" for value in asdict(row).values()))
    print(orjson.dumps([asdict(row) for row in figures]).decode())


if __name__ == "__main__":
    main()
