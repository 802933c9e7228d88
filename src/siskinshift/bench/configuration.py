"""Calls to the key-value service as the balancers grow in number.

Real decision objects and readers on an injected clock; membership is a view that all
of them get a second after a change. Next to it in the same run the plain way: every
balancer reads and watches for itself.
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


SIZES = (3, 30, 300, 810)
DOMAINS = 4
TICK_SECONDS = 0.1
START_SECONDS = 60.0
QUIET_SECONDS = 120.0
OUTAGE_SECONDS = 120.0
AFTER_SECONDS = 60.0
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
    """Calls a second at the store; a watch counts as one when it is opened.

    Attributes:
        way: "entry slots" or "every balancer".
        balancers: Number of balancers.
        holders: Balancers that read after the start.
        start_peak: Most calls in one second while all start at once.
        quiet: Mean in the quiet state.
        outage: Mean of the calls that are tried while the store is away.
        back_peak: Most calls in one second after the store is back.
        holders_back: Balancers that read a minute after that.
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
class _Reader:
    member: Member
    reader: ConfigurationReader


class _Fleet:
    """Readers around one store on one clock."""

    def __init__(self, *, kv: KvSettings, size: int, domains: int) -> None:
        self.now = 1000.0
        self.state = KvState(self.clock)
        self._kv = kv
        self._domains = domains
        self._has_news = True
        self._watches: list[tuple[float, Callable[[Watch], None], Watch]] = []
        self._readers: list[_Reader] = []
        for number in range(size):
            self._readers.append(self._make_reader(number))

    def clock(self) -> float:
        return self.now

    def run(self, seconds: float) -> list[int]:
        """Lets time pass; returns the calls of each second."""
        counts: list[int] = []
        ticks_per_second = round(1 / TICK_SECONDS)
        for tick in range(round(seconds / TICK_SECONDS)):
            if tick % ticks_per_second == 0:
                counts.append(0)
                self._publish()
            before = sum(self.state.request_counts_by_path.values())
            self._end_silent_watches()
            for reader in self._readers:
                reader.reader.step()
            counts[-1] += sum(self.state.request_counts_by_path.values()) - before
            self.now += TICK_SECONDS
        return counts

    def holders(self) -> int:
        return sum(reader.reader.holds_slot() for reader in self._readers)

    def _make_reader(self, number: int) -> _Reader:
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
            entry = self._readers[number]
            entry.member = attrs.evolve(entry.member, entry_slot=revision)
            self._has_news = True

        reader = ConfigurationReader(
            settings=self._kv,
            store=EtcdStore(
                self._kv, transport=DirectTransport(self.state), clock=self.clock
            ),
            member=member,
            on_services=len,
            on_entry_slot=announce,
            spawn=self._hold_watch,
            clock=self.clock,
            random=Random(SEED * 1000 + number),
        )
        return _Reader(member, reader)

    def _hold_watch(self, task: Callable[[Watch], None], watch: Watch) -> None:
        # A real watch waits in a thread and ends after a silence.
        self._watches.append((self.now + self._kv.watch_interval, task, watch))

    def _end_silent_watches(self) -> None:
        due = [watch for watch in self._watches if watch[0] <= self.now]
        self._watches = [watch for watch in self._watches if watch[0] > self.now]
        for _, task, watch in due:
            task(watch)

    def _publish(self) -> None:
        if not self._has_news:
            return
        self._has_news = False
        members = [reader.member for reader in self._readers]
        view = make_view(version=1, services=(), members=members)
        for reader in self._readers:
            reader.reader.update(view)


def measure(size: int, *, way: str) -> CallFigures:
    """Runs one fleet through start, quiet, outage and return of the store.

    Args:
        size: Number of balancers.
        way: "entry slots", or "every balancer" for a failure domain of its own with
            a slot for each.

    Returns:
        The figures.
    """
    every = way == "every balancer"
    text = SETTINGS_TEXT.format(slots=1 if every else 2)
    kv = SettingsLoader(source="bench").load(text).kv
    fleet = _Fleet(kv=kv, size=size, domains=size if every else min(DOMAINS, size))
    start = fleet.run(START_SECONDS)
    holders = fleet.holders()
    quiet = fleet.run(QUIET_SECONDS)
    fleet.state.faults.down = True
    outage = fleet.run(OUTAGE_SECONDS)
    fleet.state.faults.down = False
    after = fleet.run(AFTER_SECONDS)
    return CallFigures(
        way=way,
        balancers=size,
        holders=holders,
        start_peak=max(start),
        quiet=round(sum(quiet) / len(quiet), 1),
        outage=round(sum(outage) / len(outage), 1),
        back_peak=max(after),
        holders_back=fleet.holders(),
    )


def main() -> None:
    """Prints a table, then JSON."""
    figures = [
        measure(size, way=way)
        for way in ("entry slots", "every balancer")
        for size in SIZES
    ]
    names = [attribute.name for attribute in attrs.fields(CallFigures)]
    print(" ".join(f"{name:>14}" for name in names))
    for one in figures:
        print(" ".join(f"{value:>14}" for value in asdict(one).values()))
    print(orjson.dumps([asdict(one) for one in figures]).decode())


if __name__ == "__main__":
    main()
