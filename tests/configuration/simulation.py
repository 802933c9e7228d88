"""Simulated operators and nodes that share one key-value store, for fuzzing."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs
from attrs import define
from attrs import field

from siskinshift.configuration.changes import Change
from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.changes import DeleteService
from siskinshift.configuration.changes import PutGroup
from siskinshift.configuration.changes import ReplaceService
from siskinshift.configuration.changes import SetDrain
from siskinshift.configuration.changes import SetEvacuation
from siskinshift.configuration.changes import SetShare
from siskinshift.configuration.exceptions import ChangeRefusedError
from siskinshift.configuration.reader import ConfigurationReader
from siskinshift.configuration.records import SERVICE_PREFIX
from siskinshift.configuration.store import AcceptedChange
from siskinshift.configuration.store import ConfigurationStore
from siskinshift.configuration.table import ServiceTable
from siskinshift.control.codec import decode_message
from siskinshift.kv.etcd import EtcdStore
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import CallClass
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.standins.kv_direct import DirectTransport
from tests.kv.fakes import FakeClock
from tests.kv.fakes import make_settings


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.core.http import HttpResponse
    from siskinshift.standins.kv_state import KvState


SETTINGS = make_settings(
    "[kv]\ncall_rate = 1000\ncall_burst = 1000\nentry_slots = 2\nlease_ttl = 6\n"
)


class FaultyTransport(DirectTransport):
    """Injects faults into the requests of one operator.

    Attributes:
        faults: Faults of the next requests; "ok" for none, and once the list is empty.
        race: Called before the request whose fault is "race".
        delayed_writes: Writes in transit that may take effect later.
        had_fault: Whether a fault other than "ok" and "race" was injected.
    """

    def __init__(self, state: KvState) -> None:
        super().__init__(state)
        self.faults: list[str] = []
        self.race: Callable[[], object] | None = None
        self.delayed_writes: list[tuple[str, bytes]] = []
        self.had_fault = False

    def post(self, path: str, body: bytes) -> HttpResponse:
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "race" and self.race is not None:
            race, self.race = self.race, None
            race()
        elif fault != "ok":
            self.had_fault = True
        if fault == "deliver before":
            self.deliver()
        if fault == "unreachable":
            raise StoreUnavailableError("unreachable")
        if fault == "write lost":
            raise StoreOutcomeUnknownError("lost")
        if fault == "write delayed":
            self.delayed_writes.append((path, body))
            raise StoreOutcomeUnknownError("lost")
        response = super().post(path, body)
        if fault == "deliver after":
            self.deliver()
        if fault == "response lost":
            raise StoreOutcomeUnknownError("lost")
        return response

    def deliver(self) -> None:
        """Delivers the delayed writes."""
        delayed_writes, self.delayed_writes = self.delayed_writes, []
        for path, body in delayed_writes:
            try:
                super().post(path, body)
            except StoreOutcomeUnknownError:
                continue


@define
class ReportedOutcome:
    """The outcome of a change as it was reported to an operator.

    Attributes:
        change: The change.
        outcome: "accepted", "refused" or "unknown".
        revision: Reported revision of an accepted change.
        had_fault: Whether a fault was injected into one of its requests.
    """

    change: Change
    outcome: str
    revision: int
    had_fault: bool


class Operator:
    """Applies changes and records the reported outcomes."""

    def __init__(self, name: str, state: KvState, clock: FakeClock) -> None:
        self._name = name
        self._state = state
        self._clock = clock
        self._change_count = 0
        self.transport = FaultyTransport(state)
        store = EtcdStore(
            SETTINGS.kv,
            call_class=CallClass.OPERATOR,
            transport=self.transport,
            clock=clock,
        )
        self.store = ConfigurationStore(store, sleep=self._sleep, random=Random(1))
        self.outcomes_by_id: dict[str, ReportedOutcome] = {}

    def apply(
        self,
        change: Change,
        faults: list[str],
        race: Callable[[], object] | None = None,
    ) -> AcceptedChange | None:
        self._change_count += 1
        change_id = f"{self._name}-{self._change_count:06}"
        transport = self.transport
        transport.faults, transport.race = list(faults), race
        transport.had_fault = self._state.faults.down
        accepted: AcceptedChange | None = None
        try:
            accepted = self.store.apply(change, change_id)
            outcome = "accepted"
        except (ChangeRefusedError, StoreUnavailableError):
            outcome = "refused"
        except StoreOutcomeUnknownError:
            outcome = "unknown"
        transport.faults, transport.race = [], None
        revision = accepted.revision if accepted else 0
        self.outcomes_by_id[change_id] = ReportedOutcome(
            change, outcome, revision, transport.had_fault
        )
        return accepted

    def _sleep(self, seconds: float) -> None:
        self._clock.now += seconds


class Node:
    """A balancer's table and reader; tests merge tables to simulate gossip."""

    def __init__(self, number: int, state: KvState, clock: FakeClock) -> None:
        self.number = number
        self.table = ServiceTable()
        self.last_revisions_by_id: dict[str, int] = {}
        self.stale_records: list[Service] = []
        self.member = Member(
            member_id=f"balancer-{number}",
            role=Role.BALANCER,
            incarnation=1,
            version=1,
            state=MemberState.READY,
            region="region-1",
            failure_domain="fd-1",
            control=Endpoint("127.0.0.1", 1),
            data=Endpoint("127.0.0.1", 2),
        )
        self.reader = ConfigurationReader(
            settings=SETTINGS.kv,
            store=EtcdStore(SETTINGS.kv, transport=DirectTransport(state), clock=clock),
            member=self.member,
            on_services=self.table.merge_all,
            on_entry_slot=self._on_entry_slot,
            spawn=lambda task, *args: task(*args),
            clock=clock,
            random=Random(number),
        )

    def _on_entry_slot(self, revision: int) -> None:
        self.member = attrs.evolve(self.member, entry_slot=revision)


@define
class ExpectedService:
    """The content of a service that the test oracle expects.

    Attributes:
        addresses: Its addresses.
        shares: Shares by group.
        drained: Drained agents.
        evacuated: Evacuated failure domains.
        exists: Whether it exists.
    """

    addresses: frozenset[Endpoint] = frozenset()
    shares: dict[str, int] = field(factory=dict)
    drained: frozenset[str] = frozenset()
    evacuated: frozenset[str] = frozenset()
    exists: bool = False


def written_services(state: KvState) -> list[Service]:
    """Returns every service record that was written, in order."""
    return [
        attrs.evolve(decode_message(value, Service), revision=revision)
        for key, value, revision in state.writes()
        if key.startswith(SERVICE_PREFIX)
    ]


def check_history(
    records: list[Service], changes_by_id: dict[str, Change]
) -> dict[str, Service]:
    """Replays all written records against a simple model and checks them.

    Returns:
        The last record of each service.
    """
    last_by_id: dict[str, Service] = {}
    expected_by_id: dict[str, ExpectedService] = {}
    change_ids: set[str] = set()
    for record in records:
        assert record.change_id not in change_ids, "a change was applied twice"
        change_ids.add(record.change_id)
        change = changes_by_id[record.change_id]
        service_id = record.service_id
        revision = last_by_id[service_id].revision if service_id in last_by_id else 0
        base_revision = getattr(change, "revision", 0)
        assert base_revision in (0, revision), "based on an old revision"
        expected_by_id[service_id] = _expected_after(
            change, expected_by_id.get(service_id, ExpectedService())
        )
        assert _expected_from(record) == expected_by_id[service_id], (
            "the record differs from the requested change"
        )
        last_by_id[service_id] = record
        addresses = [
            address
            for expected in expected_by_id.values()
            for address in expected.addresses
        ]
        assert len(addresses) == len(set(addresses)), "two services have one address"
    return last_by_id


def _expected_from(service: Service) -> ExpectedService:
    if service.deleted:
        return ExpectedService()
    return ExpectedService(
        addresses=frozenset(service.addresses),
        shares={group.group_id: group.share for group in service.groups},
        drained=frozenset(service.drained),
        evacuated=frozenset(service.evacuated),
        exists=True,
    )


def _expected_after(change: Change, before: ExpectedService) -> ExpectedService:
    assert before.exists != isinstance(change, CreateService)
    if isinstance(change, DeleteService):
        return ExpectedService()
    if isinstance(change, CreateService):
        return _expected_from(change.service)
    if isinstance(change, ReplaceService):
        return attrs.evolve(
            _expected_from(change.service),
            drained=before.drained,
            evacuated=before.evacuated,
        )
    if isinstance(change, SetDrain):
        other_ids = before.drained - {change.member_id}
        drained = other_ids | {change.member_id} if change.drained else other_ids
        return attrs.evolve(before, drained=drained)
    if isinstance(change, SetEvacuation):
        domains = before.evacuated - {change.failure_domain}
        evacuated = domains | {change.failure_domain} if change.evacuated else domains
        return attrs.evolve(before, evacuated=evacuated)
    shares = dict(before.shares)
    if isinstance(change, PutGroup):
        shares[change.group.group_id] = change.group.share
    elif isinstance(change, SetShare):
        assert change.group_id in shares
        shares[change.group_id] = change.share
    else:
        del shares[change.group_id]
    return attrs.evolve(before, shares=shares)
