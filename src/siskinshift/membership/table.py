"""Members and services as this process knows them; a state never goes back."""

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


# A bucket of the largest deployment holds about 100 records: one reply.
BUCKET_COUNT = 64
CHANGES_REMEMBERED = 64
# Classes up to this size are told whole: that costs less than to keep book.
WHOLE_CLASS_MAXIMUM = 16
_HASH_FORMAT = "016x"


@frozen
class ClassChange:
    """One change of a record that the agents of a class should know.

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
    """Records that the agents of one upstream class should know.

    Attributes:
        member_ids: Agents of the class, gone ones included.
        service_ids: Services of the class.
        state_hash: Exclusive or of the records' hashes, gone agents left out.
        changes: The last changes, oldest first; kept for large classes only.
    """

    # Lists: there are 1,200 classes of about five agents, and an empty set or
    # deque takes as much memory as all the rest.
    member_ids: list[str] = field(factory=list)
    service_ids: list[str] = field(factory=list)
    state_hash: int = 0
    changes: list[ClassChange] = field(factory=list)

    def is_large(self) -> bool:
        """Tells whether the class is too large to be told whole each time."""
        return len(self.member_ids) + len(self.service_ids) > WHOLE_CLASS_MAXIMUM

    def note(self, change: ClassChange) -> None:
        """Remembers a change.

        Args:
            change: The change.
        """
        if not self.is_large():
            return
        self.changes.append(change)
        if len(self.changes) > CHANGES_REMEMBERED:
            del self.changes[0]


def hash_text(value: int) -> str:
    """Writes a hash for a message.

    Args:
        value: 64-bit hash.

    Returns:
        Sixteen hex digits.
    """
    return format(value, _HASH_FORMAT)


def bucket_of(key: str) -> int:
    """Maps a record to its bucket of the digest.

    Args:
        key: Member id or service id.

    Returns:
        Bucket number.
    """
    return int(xxhash.xxh3_64_intdigest(key.encode()) % BUCKET_COUNT)


class MemberTable:
    """Merges states and keeps the hashes by which two processes compare them.

    Gone members are remembered but left out of the hashes: processes forget them
    at different times, and one that still remembers would otherwise teach the
    others again for ever.

    Attributes:
        members_by_id: Known members.
        services: Known services.
        revision: Counts all changes.
        balancer_generation: Counts the changes that move assignments and links.
        classes_by_name: Records by upstream class.
    """

    def __init__(self, services: ServiceTable) -> None:
        """Prepares an empty table.

        Args:
            services: Configuration held by the process; others may merge into it.
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
        self._taken_services_by_id: dict[str, Service] = {}
        self._services_generation = -1

    @property
    def state_hash(self) -> int:
        """Hash of all records, gone members left out."""
        value = 0
        for bucket_hash in self._bucket_hashes:
            value ^= bucket_hash
        return value

    @property
    def bucket_hashes(self) -> tuple[str, ...]:
        """Hash of each bucket as text."""
        return tuple(hash_text(value) for value in self._bucket_hashes)

    def merge(self, member: Member, *, now: float) -> bool:
        """Takes a state of a member.

        Args:
            member: The state.
            now: Clock reading, seconds.

        Returns:
            Whether it was news.
        """
        known = self.members_by_id.get(member.member_id)
        if not is_newer(member, known):
            return False
        if known is None and member.state is MemberState.GONE:
            return False
        self.members_by_id[member.member_id] = member
        self.revision += 1
        if known is not None:
            self._toggle(known, -1)
        self._toggle(member, 1)
        self._index(member, known, now)
        return True

    def merge_service(self, service: Service) -> bool:
        """Takes a record of a service.

        Args:
            service: The record.

        Returns:
            Whether it was news.
        """
        if not self.services.merge(service):
            return False
        self.take_services()
        return True

    def take_services(self) -> list[Service]:
        """Indexes records that were merged into the services from elsewhere.

        Returns:
            The records that are new since the last call.
        """
        if self.services.generation == self._services_generation:
            return []
        self._services_generation = self.services.generation
        taken = self._taken_services_by_id
        fresh = [
            service
            for service_id, service in self.services.services_by_id.items()
            if taken.get(service_id) is not service
        ]
        for service in fresh:
            self._index_service(service)
        return fresh

    def forget(self, *, older_than: float) -> list[str]:
        """Drops members that have been gone for long.

        Args:
            older_than: Clock reading; those gone before it are dropped.

        Returns:
            Ids of the dropped members.
        """
        dropped = []
        for member_id, gone_at in tuple(self._gone_at_by_id.items()):
            if gone_at >= older_than:
                break
            self.drop(member_id)
            dropped.append(member_id)
        return dropped

    def drop(self, member_id: str) -> None:
        """Forgets one member whatever its state.

        Args:
            member_id: The member.
        """
        member = self.members_by_id.pop(member_id)
        self._toggle(member, -1)
        self._gone_at_by_id.pop(member_id, None)
        self._member_ids_by_bucket[bucket_of(member_id)].discard(member_id)
        records = self.classes_by_name.get(member.upstream_class)
        if records is not None:
            _discard(records.member_ids, member_id)
        self.revision += 1

    def mostly_suspect_domains(self, *, minimum: int) -> frozenset[str]:
        """Lists the failure domains most of whose members are suspect.

        Args:
            minimum: Suspects that it takes at least.

        Returns:
            Names as `domain_of` gives them.
        """
        return frozenset(
            domain
            for domain, count in self._suspect_by_domain.items()
            if count >= minimum and count * 2 >= self._live_by_domain[domain]
        )

    def members_in(self, bucket: int) -> list[Member]:
        """Lists a bucket's members.

        Args:
            bucket: Bucket number.

        Returns:
            Its members, gone ones included.
        """
        ids = self._member_ids_by_bucket[bucket]
        return [self.members_by_id[member_id] for member_id in ids]

    def services_in(self, bucket: int) -> list[Service]:
        """Lists a bucket's services.

        Args:
            bucket: Bucket number.

        Returns:
            Its services.
        """
        ids = self._service_ids_by_bucket[bucket]
        return [self.services.services_by_id[service_id] for service_id in ids]

    def class_records(self, upstream_class: str) -> ClassRecords:
        """Finds what the agents of a class should know.

        Args:
            upstream_class: The class.

        Returns:
            Its records; empty ones for a class nobody has named yet.
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
        is_moved = known is None or known.upstream_class != member.upstream_class
        if is_moved:
            records.member_ids.append(member_id)
        if known is not None and is_moved:
            former = self.class_records(known.upstream_class)
            _discard(former.member_ids, member_id)
        records.note(ClassChange(self.revision, member_id, False))

    def _index_balancer(self, member: Member, known: Member | None) -> None:
        if known is not None and _place_of(known) == _place_of(member):
            return
        self.balancer_generation += 1

    def _index_service(self, service: Service) -> None:
        service_id = service.service_id
        self.revision += 1
        known = self._taken_services_by_id.get(service_id)
        self._taken_services_by_id[service_id] = service
        self._service_ids_by_bucket[bucket_of(service_id)].add(service_id)
        is_moved = known is None or known.upstream_class != service.upstream_class
        if known is not None:
            self._toggle_service(known)
            if is_moved:
                former = self.class_records(known.upstream_class)
                _discard(former.service_ids, service_id)
        self._toggle_service(service)
        records = self.class_records(service.upstream_class)
        if is_moved:
            records.service_ids.append(service_id)
        records.note(ClassChange(self.revision, service_id, True))

    def _toggle(self, member: Member, step: int) -> None:
        """Puts a state into the hashes and counts, or takes it out again."""
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

    def _toggle_service(self, service: Service) -> None:
        # The space keeps a service apart from a member of the same name.
        value = _record_hash(f" {service.service_id}", 0, service.revision)
        self._bucket_hashes[bucket_of(service.service_id)] ^= value
        self.class_records(service.upstream_class).state_hash ^= value


def domain_of(member: Member) -> str:
    """Names a member's failure domain among all regions.

    Args:
        member: The member.

    Returns:
        Region and failure domain.
    """
    return f"{member.region}/{member.failure_domain}"


def stamp_of(member: Member) -> Stamp:
    """Names a member's state.

    Args:
        member: The state.

    Returns:
        Its stamp.
    """
    return Stamp(member.member_id, member.incarnation, member.version)


def service_stamp_of(service: Service) -> Stamp:
    """Names a service's record.

    Args:
        service: The record.

    Returns:
        Its stamp.
    """
    return Stamp(service.service_id, 0, service.revision)


def _discard(keys: list[str], key: str) -> None:
    if key in keys:
        keys.remove(key)


def _place_of(member: Member) -> tuple[bool, str, str, object]:
    is_gone = member.state is MemberState.GONE
    return (is_gone, member.region, member.failure_domain, member.control)


def _record_hash(key: str, incarnation: int, version: int) -> int:
    text = f"{key}\n{incarnation}\n{version}"
    return int(xxhash.xxh3_64_intdigest(text.encode()))
