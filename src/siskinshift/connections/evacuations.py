"""Failure domains that operators have evacuated, which receive no new flows.

A store that was restored from an older copy contains older evacuations than the nodes
hold. Those of the earlier generation then stay in force for each domain until operators
write or remove its entry again, or for a limited time. All parts of the state are
merged independently of the order in which they arrive, so that all nodes agree.
"""

from __future__ import annotations

from typing import Any

import attrs
from attrs import frozen

from siskinshift.control.documents import encode_json
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.generations import MAX_GENERATION
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.generations import StorePosition


MAX_REVISION = (1 << 53) - 1
# Limits on the domains and on the characters of a name keep a message within a
# datagram.
MAX_DOMAINS = 64
MAX_DOMAIN_LENGTH = 100
# Time after which the content of a restored store alone decides. Operators write again
# within seconds. An evacuation that was lost and is not wanted any more leaves no
# change to see, so its domain receives no new flows for this long.
HOLD_SECONDS = 30.0


@frozen
class HeldEvacuations:
    """Evacuations that were in force in an earlier generation of the store.

    Attributes:
        position: Position of the store at which they were in force.
        domains: Evacuated failure domains.
    """

    position: StorePosition
    domains: frozenset[str]


@frozen
class Evacuations:
    """The evacuated failure domains as of one position of the store.

    Attributes:
        revision: Revision of the store; 0 before the first read.
        domains: Failure domains with an entry in the store.
        generation: Generation of the store; UNKNOWN_GENERATION for a store without one
            and in messages of nodes of the previous version.
        held: Evacuations of an earlier generation; None if none are held.
        decided: Domains that operators have written or removed in this generation.
        is_settled: Whether the store alone decides in this generation.
    """

    revision: int = 0
    domains: frozenset[str] = frozenset()
    generation: int = UNKNOWN_GENERATION
    held: HeldEvacuations | None = None
    decided: frozenset[str] = frozenset()
    is_settled: bool = False

    @property
    def position(self) -> StorePosition:
        """Generation and revision."""
        return StorePosition(self.generation, self.revision)

    @property
    def in_force(self) -> frozenset[str]:
        """Failure domains that receive no new flows."""
        if self.held is None:
            return self.domains
        written = self.domains & self.decided
        held = self.held.domains - self.decided - written
        return written | _limited(held, MAX_DOMAINS - len(written))


def merge(first: Evacuations, second: Evacuations) -> Evacuations:
    """Merges what two nodes know; the order of merges does not matter.

    Args:
        first: Evacuations.
        second: Evacuations.

    Returns:
        The newer of each part. A state without a generation is older than any with one.
    """
    older, newer = sorted((first, second), key=lambda state: state.position)
    if older.generation == UNKNOWN_GENERATION:
        return first if older.position == newer.position else newer
    if older.generation < newer.generation:
        carried = HeldEvacuations(older.position, older.in_force)
        return _settled_if_due(
            attrs.evolve(newer, held=_newest_held(newer.held, carried))
        )
    is_same = older.position == newer.position
    return _settled_if_due(
        Evacuations(
            revision=newer.revision,
            domains=(
                _limited(older.domains | newer.domains) if is_same else newer.domains
            ),
            generation=newer.generation,
            held=_newest_held(older.held, newer.held),
            decided=older.decided | newer.decided,
            is_settled=older.is_settled or newer.is_settled,
        )
    )


class EvacuationRegister:
    """The newest evacuations that a node has received.

    Attributes:
        current: Evacuations as of the newest position.
        changed_domains: Domains whose evacuation has begun or ended since this process
            started; agents there may hold an older state.
    """

    def __init__(self) -> None:
        """Initializes the register without evacuated domains."""
        self.current = Evacuations()
        self.changed_domains: set[str] = set()
        self._held_generation = UNKNOWN_GENERATION
        self._settle_at = 0.0

    def update(self, evacuations: Evacuations) -> bool:
        """Applies evacuations unless newer ones are known.

        Args:
            evacuations: Evacuations from the store or from a peer.

        Returns:
            Whether the evacuation of a domain has begun or ended.
        """
        merged = merge(self.current, evacuations)
        changed = merged.in_force ^ self.current.in_force
        self.current = merged
        self.changed_domains |= changed
        return bool(changed)

    def settle(self, *, now: float) -> bool:
        """Ends the hold of an earlier generation once its time has passed.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether the evacuation of a domain has begun or ended.
        """
        if self.current.held is None:
            return False
        if self._held_generation != self.current.generation:
            self._held_generation = self.current.generation
            self._settle_at = now + HOLD_SECONDS
        if now < self._settle_at:
            return False
        return self.update(attrs.evolve(self.current, is_settled=True))

    def is_evacuated(self, failure_domain: str) -> bool:
        """Returns whether a failure domain is evacuated.

        Args:
            failure_domain: The failure domain.
        """
        return failure_domain in self.current.in_force

    def supersedes(self, evacuations: Evacuations) -> bool:
        """Returns whether a peer has to be sent the current evacuations.

        Args:
            evacuations: Evacuations that the peer holds.

        Returns:
            Whether they are older and differ.
        """
        current = self.current
        if evacuations.generation == UNKNOWN_GENERATION:
            # A node of the previous version compares revisions alone. It would reply
            # to a lower one, and the two nodes would exchange messages endlessly.
            is_older = evacuations.revision < current.revision
            return is_older and evacuations.domains != current.in_force
        return merge(current, evacuations).in_force != evacuations.in_force


def encode_evacuations(evacuations: Evacuations) -> bytes:
    """Encodes evacuations for a peer.

    Args:
        evacuations: The evacuations.

    Returns:
        A JSON object; without a generation it is that of the previous version, which
        reads the domains in force and the revision.
    """
    document: dict[str, Any] = {
        "revision": evacuations.revision,
        "domains": sorted(evacuations.in_force),
    }
    if evacuations.generation != UNKNOWN_GENERATION:
        document["generation"] = evacuations.generation
        document["decided"] = sorted(evacuations.decided)
        document["settled"] = evacuations.is_settled
    if evacuations.held is not None:
        document["written"] = sorted(evacuations.domains)
        document["held"] = {
            "generation": evacuations.held.position.generation,
            "revision": evacuations.held.position.revision,
            "domains": sorted(evacuations.held.domains),
        }
    return encode_json(document)


def evacuations_from_document(document: dict[str, Any]) -> Evacuations:
    """Decodes evacuations that a peer sent.

    Args:
        document: A JSON object of `encode_evacuations`; further fields are ignored.

    Returns:
        The evacuations.

    Raises:
        BadMessageError: A field is missing, of another type or out of range.
    """
    domains = _domains_of(document, "domains")
    revision = get_integer(document, "revision", maximum=MAX_REVISION)
    if "generation" not in document:
        return Evacuations(revision, domains)
    held = None
    if "held" in document:
        earlier = get_object(document, "held")
        held = HeldEvacuations(_position_of(earlier), _domains_of(earlier, "domains"))
        domains = _domains_of(document, "written")
    return _settled_if_due(
        Evacuations(
            revision=revision,
            domains=domains,
            generation=_position_of(document).generation,
            held=held,
            decided=_domains_of(document, "decided"),
            is_settled=document.get("settled") is True,
        )
    )


def is_domain_name(name: str) -> bool:
    """Returns whether a text is a valid name of a failure domain.

    Args:
        name: The text.
    """
    return 0 < len(name) <= MAX_DOMAIN_LENGTH and name.isprintable()


def _settled_if_due(state: Evacuations) -> Evacuations:
    """Returns the state without a hold that no longer has an effect."""
    if not state.is_settled and len(state.decided) <= MAX_DOMAINS:
        return state
    return attrs.evolve(state, held=None, decided=frozenset(), is_settled=True)


def _newest_held(
    first: HeldEvacuations | None, second: HeldEvacuations | None
) -> HeldEvacuations | None:
    if first is None or second is None:
        return first or second
    if first.position == second.position:
        # Two nodes merged the same position with different parts. The domain of an
        # order that one of them lacks must not receive flows.
        return attrs.evolve(first, domains=_limited(first.domains | second.domains))
    return max(first, second, key=lambda held: held.position)


def _limited(domains: frozenset[str], count: int = MAX_DOMAINS) -> frozenset[str]:
    """Returns the first domains by name; peers refuse a message with more."""
    return domains if len(domains) <= count else frozenset(sorted(domains)[:count])


def _position_of(document: dict[str, Any]) -> StorePosition:
    return StorePosition(
        get_integer(document, "generation", maximum=MAX_GENERATION),
        get_integer(document, "revision", maximum=MAX_REVISION),
    )


def _domains_of(document: dict[str, Any], name: str) -> frozenset[str]:
    domains = document.get(name)
    if not isinstance(domains, list) or len(domains) > MAX_DOMAINS:
        raise BadMessageError(f"{name}: not a list, or too many entries")
    if not all(isinstance(d, str) and is_domain_name(d) for d in domains):
        raise BadMessageError(f"{name}: not all entries are valid names")
    return frozenset(domains)
