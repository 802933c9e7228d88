"""Compares the scheduler of a balancer's link with sending on arrival.

Uploads, short requests and openings arrive at a balancer with a link of 5 Mbit/s, whose
queue holds 32 ms and drops the rest. Times are computed from the link rate; callers do
not retransmit. `python -m siskinshift.bench.egress_link` prints one line of JSON for
each seed and assumed rate; rate 0 stands for no scheduler.
"""

from __future__ import annotations

import math
import statistics
from random import Random
from typing import TYPE_CHECKING

import orjson

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.egress.accounts import EgressAccounts
from siskinshift.connections.egress.scheduler import DATAGRAM_HEADER_BYTES
from siskinshift.connections.egress.scheduler import EgressScheduler
from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.peer_codec import encode_forward
from siskinshift.connections.peer_messages import NO_REQUEST_PARAMETERS
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import pack_service_address
from siskinshift.observability.event_log import EventLog
from siskinshift.standins.connection_ends import encode_packet


if TYPE_CHECKING:
    from siskinshift.connections.egress.departure import Departure


LINK_BYTES_PER_SECOND = 625_000.0
LINK_QUEUE_SECONDS = 0.032
SECONDS = 4.0
SEEDS = range(1, 11)
# Assumed rates as fractions of the rate of the link.
ASSUMED_RATES = (0.0, 1.0, 0.5, 2.0)
UPLOADS_PER_SECOND = 20.0
PAGES_PER_SECOND = 90.0
OPENINGS_PER_SECOND = 60.0
UPLOAD_PACKETS = 16
UPLOAD_PACKET_BYTES = 1200
# Pause between two packets of an upload that arrive in one burst.
BURST_INTERVAL_SECONDS = 0.0001
PAGE_BYTES = 250
# The selector rounds a wait up to a millisecond.
WAKE_UP_SECONDS = 0.001
MIN_BULK_FRACTION = 0.2
AGENT = ("10.0.1.1", 7000)
SERVICE_ADDRESS = pack_service_address("198.18.0.1", 443)
CALLER_ADDRESS = bytes((100, 64, 0, 7))


def datagram(
    traffic_class: TrafficClass,
    *,
    port: int = 1,
    seq: int = 0,
    ack: int = 9,
    length: int = 0,
    started_at: float = 0.0,
    departure: Departure | None = None,
) -> ToPeer:
    """Returns a message to an agent.

    Args:
        traffic_class: Its class; all but CONTROL forward a packet of a flow.
        port: Port of the caller, which identifies the flow.
        seq: Sequence number.
        ack: Acknowledged sequence number.
        length: Bytes of data.
        started_at: When the flow began, seconds.
        departure: Records when the message leaves.
    """
    if traffic_class is TrafficClass.CONTROL:
        return ToPeer(AGENT, seq.to_bytes(4, "big") + bytes(length))
    flow = (
        port.to_bytes(2, "big")
        + SERVICE_ADDRESS[:4]
        + CALLER_ADDRESS
        + SERVICE_ADDRESS[4:]
    )
    is_opening = traffic_class is TrafficClass.OPENING
    flags = SYN if is_opening else ACK
    packet = encode_packet(
        flow, flags, seq=seq, ack=ack, data=bytes(length), from_caller=True
    )
    purpose = Purpose.OPEN if is_opening else Purpose.OWNED
    message = encode_forward(purpose, 0, packet, NO_REQUEST_PARAMETERS)
    return ToPeer(AGENT, message, traffic_class, flow, started_at, departure)


def upload(
    port: int, *, count: int = UPLOAD_PACKETS, started_at: float = 0.0
) -> list[ToPeer]:
    """Returns the packets that an upload has in flight.

    Args:
        port: Port of the caller, which identifies the flow.
        count: Number of packets.
        started_at: When the flow began, seconds.
    """
    return [
        datagram(
            TrafficClass.BULK,
            port=port,
            seq=UPLOAD_PACKET_BYTES * number,
            length=UPLOAD_PACKET_BYTES,
            started_at=started_at,
        )
        for number in range(count)
    ]


def new_scheduler(
    *,
    link: float = LINK_BYTES_PER_SECOND,
    min_bulk_fraction: float = MIN_BULK_FRACTION,
) -> tuple[EgressScheduler, EgressAccounts]:
    """Returns a scheduler and its accounts.

    Args:
        link: Rate of the link in the settings, bytes a second.
        min_bulk_fraction: Smallest fraction of the link for uploads.
    """
    accounts = EgressAccounts(EventLog(process="bench", clock=lambda: 0.0))
    scheduler = EgressScheduler(
        link_bytes_per_second=link,
        min_bulk_fraction=min_bulk_fraction,
        accounts=accounts,
    )
    return scheduler, accounts


def busy_seconds(seed: int) -> list[tuple[float, ToPeer]]:
    """Returns random arrivals of uploads, short requests and openings.

    Args:
        seed: Seed of the arrivals.
    """
    random = Random(seed)
    arrivals: list[tuple[float, ToPeer]] = []
    for first_port, rate, traffic_class in (
        (20_000, UPLOADS_PER_SECOND, TrafficClass.BULK),
        (30_000, PAGES_PER_SECOND, TrafficClass.INTERACTIVE),
        (40_000, OPENINGS_PER_SECOND, TrafficClass.OPENING),
    ):
        now, port = random.expovariate(rate), first_port
        while now < SECONDS:
            port += 1
            if traffic_class is TrafficClass.BULK:
                packets = upload(port, started_at=now)
            else:
                is_page = traffic_class is TrafficClass.INTERACTIVE
                length = PAGE_BYTES if is_page else 0
                packets = [datagram(traffic_class, port=port, length=length)]
            arrivals += [
                (now + BURST_INTERVAL_SECONDS * number, packet)
                for number, packet in enumerate(packets)
            ]
            now += random.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival[0])


class TailDropLink:
    """A link with a short queue that drops what does not fit.

    Attributes:
        delays: Seconds from arrival at the balancer to the end of the link, by class.
        lost: Number of lost packets by class.
    """

    def __init__(self) -> None:
        """Initializes an idle link."""
        self.delays: list[list[float]] = [[] for _ in TrafficClass]
        self.lost = [0] * len(TrafficClass)
        self._busy_until = 0.0

    def send(self, action: ToPeer, *, arrived_at: float, now: float) -> None:
        """Receives a datagram.

        Args:
            action: The datagram.
            arrived_at: When it arrived at the balancer, seconds.
            now: When the balancer sends it, seconds.
        """
        size = len(action.datagram) + DATAGRAM_HEADER_BYTES
        start = max(self._busy_until, now)
        end = start + size / LINK_BYTES_PER_SECOND
        if end - now > LINK_QUEUE_SECONDS:
            self.lost[action.traffic_class] += 1
            return
        self._busy_until = end
        self.delays[action.traffic_class].append(end - arrived_at)


def send(
    arrivals: list[tuple[float, ToPeer]], scheduler: EgressScheduler | None = None
) -> TailDropLink:
    """Sends datagrams over a link.

    Args:
        arrivals: Times and datagrams.
        scheduler: Runs late, as in the event loop; None sends on arrival.

    Returns:
        The link.
    """
    link = TailDropLink()
    arrived_at = {id(action): time for time, action in arrivals}

    def release(now: float) -> None:
        if scheduler is not None and scheduler.next_due <= now:
            for action in scheduler.release(now=now):
                link.send(action, arrived_at=arrived_at[id(action)], now=now)

    def release_until(time: float) -> None:
        while scheduler and scheduler.next_due + WAKE_UP_SECONDS <= time:
            release(scheduler.next_due + WAKE_UP_SECONDS)

    for time, action in arrivals:
        release_until(time)
        if scheduler is None or scheduler.offer(action, now=time):
            link.send(action, arrived_at=time, now=time)
        else:
            release(time)
    release_until(math.inf)
    return link


def main() -> None:
    """Prints the figures."""
    for seed in SEEDS:
        arrivals = busy_seconds(seed)
        for rate in ASSUMED_RATES:
            scheduler, accounts = new_scheduler(
                link=(rate or 1) * LINK_BYTES_PER_SECOND
            )
            link = send(arrivals, scheduler if rate else None)
            figures: dict[str, object] = {"seed": seed, "assumed_rate": rate}
            for traffic_class in list(TrafficClass)[1:]:
                delays = sorted(link.delays[traffic_class])
                figures[traffic_class.name.lower()] = {
                    "delivered": len(delays),
                    "lost": link.lost[traffic_class],
                    "dropped": sum(
                        number
                        for (dropped, _), number in accounts.dropped_packets.items()
                        if dropped is traffic_class
                    ),
                    "mean_ms": round(1000 * statistics.mean(delays), 1),
                    "p99_ms": round(1000 * delays[int(0.99 * len(delays))], 1),
                    "max_ms": round(1000 * delays[-1], 1),
                }
            print(orjson.dumps(figures).decode())


if __name__ == "__main__":
    main()
