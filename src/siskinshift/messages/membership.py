"""Messages of schema/messages/membership.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import Service


@frozen
class Stamp:
    """Names one state of a record: a member's, or a service's by its revision.

    Attributes:
        key: Member id or service id.
        incarnation: Incarnation of a member; 0 for a service.
        version: Version of a member; revision of a service.
    """

    key: str
    incarnation: int
    version: int


@frozen
class Heartbeat:
    """A member's sign of life to one of its watchers.

    Attributes:
        member_id: The sender.
        incarnation: Its incarnation.
        version: Version of its own state.
        view_hash: Hash of what an agent knows of its class; empty from a balancer.
        watchers_hash: Hash of the watchers the sender announces to.
        member: The whole state when the watcher may not know it.
    """

    member_id: str
    incarnation: int
    version: int
    view_hash: str = ""
    watchers_hash: str = ""
    member: Member | None = None


@frozen
class HeartbeatReply:
    """What a watcher answers to a heartbeat; empty when nothing changed.

    Attributes:
        wanted: Whether the sender's whole state is asked for.
        known: State of the sender that is newer than its own, to be refuted.
        watchers: Watchers to announce to, when they changed.
        members: Members of the sender's class that are news to it.
        services: Records of the sender's class that are news to it.
        complete: Whether members and services are all of the class.
    """

    wanted: bool = False
    known: Stamp | None = None
    watchers: tuple[Endpoint, ...] = ()
    members: tuple[Member, ...] = ()
    services: tuple[Service, ...] = ()
    complete: bool = False


@frozen
class Ping:
    """Asks a silent member, or a process in its place, for a sign of life.

    Attributes:
        member_id: Who is asked for.
    """

    member_id: str


@frozen
class HeardQuery:
    """Asks another watcher when it last heard a member.

    Attributes:
        member_id: The silent member.
    """

    member_id: str


@frozen
class HeardReply:
    """When a watcher last heard a member.

    Attributes:
        age: Seconds since then; below 0 when never or not watched.
    """

    age: float = -1.0


@frozen
class News:
    """States that the receiver may not know.

    Attributes:
        sender_id: The sender.
        members: States of members.
        services: Records of services.
    """

    sender_id: str
    members: tuple[Member, ...] = ()
    services: tuple[Service, ...] = ()


@frozen
class NewsReply:
    """Says that news arrived.

    Attributes:
        accepted: How many were news.
    """

    accepted: int = 0


@frozen
class Digest:
    """Opens a comparison of two processes' whole state.

    Attributes:
        sender_id: The sender.
        state_hash: Hash of the sender's state.
    """

    sender_id: str
    state_hash: str


@frozen
class DigestReply:
    """Hashes by bucket when the two states differ.

    Attributes:
        bucket_hashes: Hash of each bucket; empty when the states are the same.
    """

    bucket_hashes: tuple[str, ...] = ()


@frozen
class Compare:
    """Compares some buckets record by record.

    Attributes:
        sender_id: The sender.
        buckets: Bucket numbers.
        members: The sender's members in these buckets.
        services: The sender's services in these buckets.
    """

    sender_id: str
    buckets: tuple[int, ...]
    members: tuple[Stamp, ...] = ()
    services: tuple[Stamp, ...] = ()


@frozen
class CompareReply:
    """What the sender of a comparison lacks, and what it is asked for.

    Attributes:
        members: Members newer than the sender's.
        services: Services newer than the sender's.
        wanted_members: Members of which the sender has newer states.
        wanted_services: Services of which the sender has newer records.
    """

    members: tuple[Member, ...] = ()
    services: tuple[Service, ...] = ()
    wanted_members: tuple[str, ...] = ()
    wanted_services: tuple[str, ...] = ()
