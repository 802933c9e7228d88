"""Bounds of what waits for the link of a balancer."""

from __future__ import annotations

from siskinshift.connections.egress.traffic_class import TrafficClass


# Bytes of the waiting packets of all classes but CONTROL, a second of a link of
# 5 Mbit/s, and their number. With the bounds of CONTROL and the objects that hold the
# packets this takes less than 1 MB.
MAX_WAITING_BYTES = 600_000
MAX_WAITING_PACKETS = 640
# Bytes and number of the waiting messages of CONTROL, 0.17 s of such a link. What
# exceeds them is sent unpaced. They are bounded apart: a burst of control messages
# would otherwise evict the openings and short requests that wait behind it.
MAX_WAITING_CONTROL_BYTES = 100_000
MAX_WAITING_CONTROL_PACKETS = 400
# Time after which a waiting packet is dropped. A caller retransmits a packet 0.2, 0.6,
# 1.4 and 3.0 s after it was first sent; copies of a waiting packet are dropped. Each
# bound ends shortly before one of these times, so that the copy that follows the expiry
# is kept. An attempt to open a flow ends after 1.4 s. CONTROL has no bound.
MAX_WAIT_SECONDS_BY_CLASS = {
    TrafficClass.OPENING: 0.5,
    TrafficClass.INTERACTIVE: 1.0,
    TrafficClass.BULK: 1.3,
}
# Interval at which these times are checked while packets wait.
EXPIRY_INTERVAL_SECONDS = 0.05
# Classes in the order in which they are dropped when the bounds are reached.
DROP_ORDER = (TrafficClass.BULK, TrafficClass.INTERACTIVE, TrafficClass.OPENING)
