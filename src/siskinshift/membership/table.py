"""Stores the members and services known to a process; older states are ignored."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import xxhash
from attrs import define
from attrs import field
from attrs import frozen

from siskinshift.membership.ordering import is_newer
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.membership import Stamp


if TYPE_CHECKING:
    from siskinshift.configuration.table import ServiceTable
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import Service


# In the largest deployment a bucket has about 100 records, which fit into one reply.
BUCKET_COUNT = 64
MAX_RECENT_CHANGES = 64
# Classes up to this size are sent in full: that costs less than tracking changes.
MAX_FULL_UPDATE_RECORDS = 16
_HASH_FORMAT = "016x"


@frozen
class ClassChange:
    """A change of a record that is sent to the agents of a class.

    Attributes:
        revision: Revision of the table after the change.
        key: Member id or service id.
        is_service: Whether the record is a service.
    """

    revision: int
    key: str
    is_service: bool


@define(eq=False)
class ClassRecords:
    """Records that are sent to the agents of one upstream class.

    Attributes:
        member_ids: Agents of the class, including gone ones.
        service_ids: Services of the class.
        state_hash: XOR of the records' hashes, without gone agents.
        changes: The last changes, oldest first; tracked for large classes only.
    """

    # These are lists because there are 1,200 classes of about five agents, and an
    # empty set or deque takes as much memory as all the other fields.
    member_ids: list[str] = field(factory=list)
    service_ids: list[str] = field(factory=list)
    state_hash: int = 0
    changes: list[ClassChange] = field(factory=list)

    def is_large(self) -> bool:
        """Returns whether the class is too large to be sent in full each time."""
        return len(self.member_ids) + len(self.service_ids) > MAX_FULL_UPDATE_RECORDS

    def record_change(self, change: ClassChange) -> None:
        """Adds a change to the last changes of a large class; ignored for a small one.

        Args:
            change: The change.
        """
        if not self.is_large():
            return
        self.changes.append(change)
        if len(self.changes) > MAX_RECENT_CHANGES:
            del self.changes[0]


def format_hash(value: int) -> str:
    """Formats a hash for a message.

    Args:
        value: 64-bit hash.

    Returns:
        Sixteen hex digits.
    """
    return format(value, _HASH_FORMAT)


def bucket_of(key: str) -> int:
    """Returns the bucket of the digest that a record belongs to.

    Args:
        key: Member id or service id.

    Returns:
        Bucket number.
    """
    return int(xxhash.xxh3_64_intdigest(key.encode()) % BUCKET_COUNT)


class MemberTable:
    """Merges states and maintains the hashes by which two processes compare them.

    Gone members stay in the table but are left out of the hashes. Processes remove
    them at different times, and one that still has a gone member would otherwise
    keep sending it to its peers forever.

    Attributes:
        members_by_id: Known members.
        services: Known services.
        revision: Number of all changes so far.
        balancer_generation: Number of changes that affect assignments and links.
        classes_by_name: Records by upstream class.
    """

    def __init__(self, services: ServiceTable) -> None:
        """Initializes an empty table.

        Args:
            services: Configuration of the process; other modules may merge into it.
        """
        self.members_by_id: dict[str, Member] = {}
        self.services = services
        self.revision = 0
        self.balancer_generation = 0
        self.classes_by_name: dict[str, ClassRecords] = {}
        self._live_by_domain: Counter[str] = Counter()
        self._suspect_by_domain: Counter[str] = Counter()
        self._gone_at_by_id: dict[str, float] = {}
        self._bucket_hashes = [0] * BUCKET_COUNT
        self._member_ids_by_bucket: list[set[str]] = [
            set() for _ in range(BUCKET_COUNT)
        ]
        self._service_ids_by_bucket: list[set[str]] = [
            set() for _ in range(BUCKET_COUNT)
        ]
        self._indexed_services_by_id: dict[str, Service] = {}
        self._services_generation = -1

    @property
    def state_hash(self) -> int:
        """Hash of all records except gone members."""
        value = 0
        for bucket_hash in self._bucket_hashes:
            value ^= bucket_hash
        return value

    @property
    def bucket_hashes(self) -> tuple[str, ...]:
        """Hash of each bucket as text."""
        return tuple(format_hash(value) for value in self._bucket_hashes)

    def merge(self, member: Member, *, now: float) -> bool:
        """Merges a state of a member.

        Args:
            member: The state.
            now: Clock reading, seconds.

        Returns:
            Whether the state was newer than the one in the table.
        """
        known = self.members_by_id.get(member.member_id)
        if not is_newer(member, known):
            return False
        if known is None and member.state is MemberState.GONE:
            return False
        self.members_by_id[member.member_id] = member
        self.revision += 1
        if known is not None:
            self._toggle_member_hash(known, -1)
        self._toggle_member_hash(member, 1)
        self._index(member, known, now)
        return True

    def merge_service(self, service: Service) -> bool:
        """Merges a record of a service.

        Args:
            service: The record.

        Returns:
            Whether the record was newer than the one in the table.
        """
        if not self.services.merge(service):
            return False
        self.index_merged_services()
        return True

    def index_merged_services(self) -> list[Service]:
        """Indexes records that other modules merged into the services.

        Returns:
            The records that are new since the last call.
        """
        if self.services.generation == self._services_generation:
            return []
        self._services_generation = self.services.generation
        indexed = self._indexed_services_by_id
        changed = [
            service
            for service_id, service in self.services.services_by_id.items()
            if indexed.get(service_id) is not service
        ]
        for service in changed:
            self._index_service(service)
        return changed

    def expire_gone(self, *, older_than: float) -> list[str]:
        """Removes members that have been gone since before a given time.

        Args:
            older_than: Clock reading; members gone before it are removed.

        Returns:
            Ids of the removed members.
        """
        removed_ids = []
        for member_id, gone_at in tuple(self._gone_at_by_id.items()):
            if gone_at >= older_than:
                break
            self.remove(member_id)
            removed_ids.append(member_id)
        return removed_ids

    def remove(self, member_id: str) -> None:
        """Removes a member whatever its state.

        Args:
            member_id: The member.
        """
        member = self.members_by_id.pop(member_id)
        self._toggle_member_hash(member, -1)
        self._gone_at_by_id.pop(member_id, None)
        self._member_ids_by_bucket[bucket_of(member_id)].discard(member_id)
        records = self.classes_by_name.get(member.upstream_class)
        if records is not None:
            _discard(records.member_ids, member_id)
        self.revision += 1

    def mostly_suspect_domains(self, *, minimum: int) -> frozenset[str]:
        """Returns the failure domains at least half of whose members are suspect.

        Args:
            minimum: Least number of suspect members in such a domain.

        Returns:
            Names as returned by `domain_of`.
        """
        return frozenset(
            domain
            for domain, count in self._suspect_by_domain.items()
            if count >= minimum and count * 2 >= self._live_by_domain[domain]
        )

    def members_in_bucket(self, bucket: int) -> list[Member]:
        """Returns the members of a bucket.

        Args:
            bucket: Bucket number.

        Returns:
            Its members, including gone ones.
        """
        ids = self._member_ids_by_bucket[bucket]
        return [self.members_by_id[member_id] for member_id in ids]

    def services_in_bucket(self, bucket: int) -> list[Service]:
        """Returns the services of a bucket.

        Args:
            bucket: Bucket number.

        Returns:
            Its services.
        """
        ids = self._service_ids_by_bucket[bucket]
        return [self.services.services_by_id[service_id] for service_id in ids]

    def class_records(self, upstream_class: str) -> ClassRecords:
        """Returns the records that are sent to the agents of a class.

        Args:
            upstream_class: The class.

        Returns:
            Its records; empty ones are added for an unknown class.
        """
        return self.classes_by_name.setdefault(upstream_class, ClassRecords())

    def _index(self, member: Member, known: Member | None, now: float) -> None:
        member_id = member.member_id
        self._member_ids_by_bucket[bucket_of(member_id)].add(member_id)
        if member.state is not MemberState.GONE:
            self._gone_at_by_id.pop(member_id, None)
        else:
            self._gone_at_by_id[member_id] = now
        if member.role is Role.BALANCER:
            self._index_balancer(member, known)
            return
        records = self.class_records(member.upstream_class)
        is_class_changed = (
            known is None or known.upstream_class != member.upstream_class
        )
        if is_class_changed:
            records.member_ids.append(member_id)
        if known is not None and is_class_changed:
            previous_records = self.class_records(known.upstream_class)
            _discard(previous_records.member_ids, member_id)
        records.record_change(ClassChange(self.revision, member_id, False))

    def _index_balancer(self, member: Member, known: Member | None) -> None:
        if known is not None and _location_of(known) == _location_of(member):
            return
        self.balancer_generation += 1

    def _index_service(self, service: Service) -> None:
        service_id = service.service_id
        self.revision += 1
        known = self._indexed_services_by_id.get(service_id)
        self._indexed_services_by_id[service_id] = service
        self._service_ids_by_bucket[bucket_of(service_id)].add(service_id)
        is_class_changed = (
            known is None or known.upstream_class != service.upstream_class
        )
        if known is not None:
            self._toggle_service_hash(known)
            if is_class_changed:
                previous_records = self.class_records(known.upstream_class)
                _discard(previous_records.service_ids, service_id)
        self._toggle_service_hash(service)
        records = self.class_records(service.upstream_class)
        if is_class_changed:
            records.service_ids.append(service_id)
        records.record_change(ClassChange(self.revision, service_id, True))

    def _toggle_member_hash(self, member: Member, step: int) -> None:
        """Adds a state to the hashes and counts, or removes it from them."""
        if member.state is MemberState.GONE:
            return
        domain = domain_of(member)
        self._live_by_domain[domain] += step
        if member.state is MemberState.SUSPECT:
            self._suspect_by_domain[domain] += step
        value = _record_hash(member.member_id, member.incarnation, member.version)
        self._bucket_hashes[bucket_of(member.member_id)] ^= value
        if member.role is Role.AGENT:
            self.class_records(member.upstream_class).state_hash ^= value

    def _toggle_service_hash(self, service: Service) -> None:
        # The space makes the hash differ from that of a member of the same name.
        value = _record_hash(f" {service.service_id}", 0, service.revision)
        self._bucket_hashes[bucket_of(service.service_id)] ^= value
        self.class_records(service.upstream_class).state_hash ^= value


def domain_of(member: Member) -> str:
    """Returns the name of a member's failure domain, unique across regions.

    Args:
        member: The member.

    Returns:
        Region and failure domain.
    """
    return f"{member.region}/{member.failure_domain}"


def stamp_of(member: Member) -> Stamp:
    """Returns the stamp of a member's state.

    Args:
        member: The state.

    Returns:
        Id, incarnation and version.
    """
    return Stamp(member.member_id, member.incarnation, member.version)


def service_stamp_of(service: Service) -> Stamp:
    """Returns the stamp of a service's record.

    Args:
        service: The record.

    Returns:
        Id and revision.
    """
    return Stamp(service.service_id, 0, service.revision)


def _discard(keys: list[str], key: str) -> None:
    if key in keys:
        keys.remove(key)


def _location_of(member: Member) -> tuple[bool, str, str, object]:
    is_gone = member.state is MemberState.GONE
    return (is_gone, member.region, member.failure_domain, member.control)


def _record_hash(key: str, incarnation: int, version: int) -> int:
    text = f"{key}\n{incarnation}\n{version}"
    return int(xxhash.xxh3_64_intdigest(text.encode()))
