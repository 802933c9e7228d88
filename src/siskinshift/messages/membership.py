"""Messages of schema/messages/membership.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import Service


@frozen
class Stamp:
    """Identifies a version of a record of a member or a service.

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
    """Heartbeat of a member to one of its watchers.

    Attributes:
        member_id: The sender.
        incarnation: Its incarnation.
        version: Version of its own state.
        view_hash: Hash of an agent's state of its class; empty from a balancer.
        watchers_hash: Hash of the sender's list of watchers.
        member: Full state of the sender, if the watcher may not have it.
    """

    member_id: str
    incarnation: int
    version: int
    view_hash: str = ""
    watchers_hash: str = ""
    member: Member | None = None


@frozen
class HeartbeatReply:
    """Reply of a watcher to a heartbeat; empty if nothing changed.

    Attributes:
        wanted: Whether the sender's full state is requested.
        known: Version of the sender's state that is newer than its own, to be refuted.
        watchers: Watchers of the sender, if they changed.
        members: Members of the sender's class that it lacks.
        services: Service records of the sender's class that it lacks.
        complete: Whether members and services are complete for the class.
    """

    wanted: bool = False
    known: Stamp | None = None
    watchers: tuple[Endpoint, ...] = ()
    members: tuple[Member, ...] = ()
    services: tuple[Service, ...] = ()
    complete: bool = False


@frozen
class Ping:
    """Probes an unresponsive member; a process at its endpoint replies with its own heartbeat.

    Attributes:
        member_id: Member id of the probed member.
    """

    member_id: str


@frozen
class HeardQuery:
    """Queries when another watcher last received a message of a member.

    Attributes:
        member_id: Member id of the unresponsive member.
    """

    member_id: str


@frozen
class HeardReply:
    """Time since a watcher last received a message of a member.

    Attributes:
        age: Seconds since the last message; below 0 for none or if not watched.
    """

    age: float = -1.0


@frozen
class News:
    """Updates that the receiver may lack.

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
    """Acknowledges updates.

    Attributes:
        accepted: Number of updates that were new to the receiver.
    """

    accepted: int = 0


@frozen
class Digest:
    """Starts a comparison of the full state of two processes.

    Attributes:
        sender_id: The sender.
        state_hash: Hash of the sender's state.
    """

    sender_id: str
    state_hash: str


@frozen
class DigestReply:
    """Hash of each bucket, if the states differ.

    Attributes:
        bucket_hashes: Hash of each bucket; empty if the states are equal.
    """

    bucket_hashes: tuple[str, ...] = ()


@frozen
class Compare:
    """Compares the records of some buckets.

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
    """Records that the sender of a comparison lacks, and requests for newer ones.

    Attributes:
        members: Members newer than the sender's.
        services: Services newer than the sender's.
        wanted_members: Member ids of which the sender has newer states.
        wanted_services: Service ids of which the sender has newer records.
    """

    members: tuple[Member, ...] = ()
    services: tuple[Service, ...] = ()
    wanted_members: tuple[str, ...] = ()
    wanted_services: tuple[str, ...] = ()
