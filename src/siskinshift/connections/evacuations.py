"""Failure domains that operators have evacuated, which receive no new flows."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from siskinshift.control.documents import encode_json
from siskinshift.control.documents import get_integer
from siskinshift.control.exceptions import BadMessageError


MAX_REVISION = (1 << 53) - 1
# Limits on the domains and on the characters of a name keep a message within a
# datagram.
MAX_DOMAINS = 64
MAX_DOMAIN_LENGTH = 100


@frozen
class Evacuations:
    """The evacuated failure domains as of one revision of the store.

    Attributes:
        revision: Revision of the store; 0 before the first read.
        domains: Failure domains that receive no new flows.
    """

    revision: int = 0
    domains: frozenset[str] = frozenset()


class EvacuationRegister:
    """The newest evacuations that a node has received.

    Attributes:
        current: Evacuations as of the newest revision.
        changed_domains: Domains whose evacuation has begun or ended since this process
            started; agents there may hold an older state.
    """

    def __init__(self) -> None:
        """Initializes the register without evacuated domains."""
        self.current = Evacuations()
        self.changed_domains: set[str] = set()

    def update(self, evacuations: Evacuations) -> bool:
        """Applies evacuations unless newer ones are known.

        Args:
            evacuations: Evacuations from the store or from a peer.

        Returns:
            Whether the evacuation of a domain has begun or ended.
        """
        if evacuations.revision <= self.current.revision:
            return False
        changed = evacuations.domains ^ self.current.domains
        self.current = evacuations
        self.changed_domains |= changed
        return bool(changed)

    def is_evacuated(self, failure_domain: str) -> bool:
        """Returns whether a failure domain is evacuated.

        Args:
            failure_domain: The failure domain.
        """
        return failure_domain in self.current.domains

    def supersedes(self, evacuations: Evacuations) -> bool:
        """Returns whether a peer has to be sent the current evacuations.

        Args:
            evacuations: Evacuations that the peer holds.

        Returns:
            Whether they are older and differ.
        """
        is_older = evacuations.revision < self.current.revision
        return is_older and evacuations.domains != self.current.domains


def encode_evacuations(evacuations: Evacuations) -> bytes:
    """Encodes evacuations for a peer.

    Args:
        evacuations: The evacuations.

    Returns:
        A JSON object.
    """
    domains = sorted(evacuations.domains)
    return encode_json({"revision": evacuations.revision, "domains": domains})


def evacuations_from_document(document: dict[str, Any]) -> Evacuations:
    """Decodes evacuations that a peer sent.

    Args:
        document: A JSON object of `encode_evacuations`; further fields are ignored.

    Returns:
        The evacuations.

    Raises:
        BadMessageError: A field is missing, of another type or out of range.
    """
    domains = document.get("domains")
    if not isinstance(domains, list) or len(domains) > MAX_DOMAINS:
        raise BadMessageError("domains: not a list, or too many entries")
    if not all(isinstance(d, str) and is_domain_name(d) for d in domains):
        raise BadMessageError("domains: not all entries are valid names")
    revision = get_integer(document, "revision", maximum=MAX_REVISION)
    return Evacuations(revision, frozenset(domains))


def is_domain_name(name: str) -> bool:
    """Returns whether a text is a valid name of a failure domain.

    Args:
        name: The text.
    """
    return 0 < len(name) <= MAX_DOMAIN_LENGTH and name.isprintable()
