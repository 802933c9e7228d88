"""Failure domains that operators have evacuated: they get no new flows."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from siskinshift.control.documents import encode_json
from siskinshift.control.documents import get_integer
from siskinshift.control.exceptions import BadMessageError


REVISION_MAXIMUM = (1 << 53) - 1
# Domains in one order, and characters of a name, so that a message stays a datagram.
DOMAINS_MAXIMUM = 64
DOMAIN_LENGTH_MAXIMUM = 100


@frozen
class Evacuations:
    """The evacuated failure domains as of one revision of the store.

    Attributes:
        revision: Revision of the store; 0 before the first reading.
        domains: Failure domains that get no new flows.
    """

    revision: int = 0
    domains: frozenset[str] = frozenset()


class EvacuationRegister:
    """The newest evacuations that a node knows.

    Attributes:
        current: As of the newest revision.
        changed_domains: Domains whose order has changed in the life of this process;
            agents there may hold an older one.
    """

    def __init__(self) -> None:
        """Starts without any evacuated domain."""
        self.current = Evacuations()
        self.changed_domains: set[str] = set()

    def update(self, evacuations: Evacuations) -> bool:
        """Takes evacuations unless newer ones are known.

        Args:
            evacuations: As read from the store or received from a peer.

        Returns:
            Whether a domain was evacuated or taken back.
        """
        if evacuations.revision <= self.current.revision:
            return False
        changed = evacuations.domains ^ self.current.domains
        self.current = evacuations
        self.changed_domains |= changed
        return bool(changed)

    def covers(self, failure_domain: str) -> bool:
        """Says whether a failure domain is evacuated.

        Args:
            failure_domain: The failure domain.
        """
        return failure_domain in self.current.domains

    def supersedes(self, evacuations: Evacuations) -> bool:
        """Says whether a peer needs to be sent the current evacuations.

        Args:
            evacuations: What the peer holds.

        Returns:
            Whether they are older and differ.
        """
        is_older = evacuations.revision < self.current.revision
        return is_older and evacuations.domains != self.current.domains


def encode_evacuations(evacuations: Evacuations) -> bytes:
    """Writes evacuations for a peer.

    Args:
        evacuations: The evacuations.

    Returns:
        A JSON object.
    """
    domains = sorted(evacuations.domains)
    return encode_json({"revision": evacuations.revision, "domains": domains})


def evacuations_from_document(document: dict[str, Any]) -> Evacuations:
    """Reads evacuations that a peer wrote.

    Args:
        document: A JSON object of `encode_evacuations`; further fields are ignored.

    Returns:
        The evacuations.

    Raises:
        BadMessageError: A field is missing, of another type or out of range.
    """
    domains = document.get("domains")
    if not isinstance(domains, list) or len(domains) > DOMAINS_MAXIMUM:
        raise BadMessageError("domains: no list, or too long a one")
    if not all(isinstance(d, str) and is_domain_name(d) for d in domains):
        raise BadMessageError("domains: not all are names")
    revision = get_integer(document, "revision", maximum=REVISION_MAXIMUM)
    return Evacuations(revision, frozenset(domains))


def is_domain_name(name: str) -> bool:
    """Says whether a text can name a failure domain.

    Args:
        name: The text.
    """
    return 0 < len(name) <= DOMAIN_LENGTH_MAXIMUM and name.isprintable()
