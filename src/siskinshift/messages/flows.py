"""Messages of schema/messages/flows.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen


@frozen
class FlowNote:
    """States that the sender permitted a peer to create a flow.

    Attributes:
        flow_hash: 64-bit flow hash.
        owner_id: Member id of the agent that may create the flow.
        owner_incarnation: Incarnation of that agent.
        owner_version: Version of that agent's view when it requested the permission.
    """

    flow_hash: int
    owner_id: str
    owner_incarnation: int
    owner_version: int = 0


@frozen
class FlowNotes:
    """A handover message: a claim of buckets, a list of flows in buckets, an acceptance of a list, or an audit.

    Attributes:
        service_id: Service of the flows.
        sender_id: Member id of the sender.
        sender_incarnation: Incarnation of the sender.
        sender_version: Version of the sender's view; a list covers all flows whose creation the sender requested up to that version.
        sequence: Sequence number of the sender; an older list never replaces a newer one.
        claimed_buckets: Claim: buckets for which the sender is primary in its view.
        claim_version: Claim: version of the sender's view at the start of the claim.
        listed_buckets: List: buckets that it covers. The receiver is their primary in the sender's view, and the sender creates no flow in them.
        flows: List: hashes of all flows that the sender owns in the listed buckets.
        notes: List: flows in the listed buckets that the sender permitted peers to create.
        given_to: List: other agents whose claims of these buckets the sender confirmed recently.
        receiver_incarnation: List: incarnation of the receiver whose claim it confirms.
        confirmed_version: List: claim_version of the claim that it confirms; 0 for none.
        accepted_buckets: Acceptance: buckets of the list that the sender applied.
        accepted_sequence: Acceptance: sequence of that list.
        audited_buckets: Audit: buckets whose list the sender requests, because it holds notes that the receiver did not confirm.
        audited_version: Audit: highest owner_version of those notes.
    """

    service_id: str
    sender_id: str = ""
    sender_incarnation: int = 0
    sender_version: int = 0
    sequence: int = 0
    claimed_buckets: tuple[int, ...] = ()
    claim_version: int = 0
    listed_buckets: tuple[int, ...] = ()
    flows: tuple[int, ...] = ()
    notes: tuple[FlowNote, ...] = ()
    given_to: tuple[str, ...] = ()
    receiver_incarnation: int = 0
    confirmed_version: int = 0
    accepted_buckets: tuple[int, ...] = ()
    accepted_sequence: int = 0
    audited_buckets: tuple[int, ...] = ()
    audited_version: int = 0


@frozen
class FlowNotesReceipt:
    """Acknowledges a handover message; the response is a separate message.

    Attributes:
        service_id: Service of the message.
    """

    service_id: str
