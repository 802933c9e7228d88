"""Criteria by which an agent counts as unhealthy.

Each criterion returns a severity: the ratio of what was observed to the limit, at least
1 for an unhealthy agent and 0 if it can't tell. The worst agents are ejected first, so
severities of different criteria have to be comparable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.connections.health.evidence import MIN_SAMPLES


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.health.evidence import Evidence
    from siskinshift.connections.health.evidence import ServiceStatistics


# Factors under two arise from chance and from waiting behind one request at a busy
# upstream of one slot.
SLOW_FACTOR = 3.0
# With fewer samples than MIN_SAMPLES, but at least this many, the factor is doubled: an
# upstream that is thirty times slower than 22 ms gives no more within the window.
MIN_SLOW_SAMPLES = 8
# Fraction of the service's median run time below which the fastest tenth is suspicious.
FAST_FRACTION = 0.25
# Work may vary so much that a tenth of it takes less than a quarter of the median. So
# the fastest tenth and the median are also compared with those of the other agents:
# limit of the product of the two ratios. Responses of 1 ms to 40 % of the requests
# where work takes 22 ms give 0.08 to 0.14.
FAST_RATIO_PRODUCT = 0.15
# With fewer, the 0.1 quantile is one of the four fastest responses, which a group of
# trivial requests may determine.
MIN_FAST_SAMPLES = 40
# An agent that was ejected before is judged by a fraction of the samples: it gets few
# requests, and it has shown the fault before.
# Less than half lets single samples from before a recovery decide.
REPEAT_SAMPLE_FRACTION = 0.5
# Resolution of run times in a report.
MIN_RUN_SECONDS = 0.0001
# Stalled requests that count as hanging. One alone may be a request whose caller
# vanished while sending it.
MIN_STALLED = 2
# With many requests in parallel, this fraction of the recent responses instead.
STALLED_FRACTION = 1 / 32
# Multiple of the service's mean that counts as hanging, since many agents have stalled
# requests if all upstreams slow down. At most 30 % are ejected, which reach it.
STALLED_MEANS = 2.5
# Reports in a row, at different evaluations, that have to show them: an agent that was
# busy itself may have handled a first byte late.
HANGING_REPORTS = 2
# Fraction of failed requests or openings. Healthy upstreams have practically none; four
# failures of the newest 32 outcomes reach it.
MAX_FAILURE_FRACTION = 0.1
# One opening packet in forty may be lost, and two in a row in a burst. The placement
# avoids an agent after two already; it returns to it as soon as a heartbeat arrives.
UNRESPONSIVE_OPENINGS = 4
# A round trip of less than this above the median does not matter to an objective of
# 276 ms and is within the retry delay of 40 ms.
ROUND_TRIP_MARGIN_SECONDS = 0.02
# A longer round trip delays all openings of the agent by more than a third of the
# objective, however fast its upstream is.
MAX_ROUND_TRIP_SECONDS = 0.1


@frozen
class Finding:
    """Why an agent counts as unhealthy.

    Attributes:
        reason: Name of the criterion with the highest severity; empty if healthy.
        severity: Its severity; at least 1 if unhealthy.
    """

    reason: str = ""
    severity: float = 0.0


HEALTHY = Finding()
# Criteria that compare run times with those of the service.
RUN_TIME_REASONS = frozenset({"slow_upstream", "slow_openings", "failing_fast"})
Criterion: TypeAlias = "Callable[[Evidence, ServiceStatistics], float]"
_criteria_by_name: dict[str, Criterion] = {}


def register_criterion(name: str) -> Callable[[Criterion], Criterion]:
    """Registers the decorated function as a criterion.

    Args:
        name: Reason that is logged and counted.

    Returns:
        The decorator.
    """

    def register(criterion: Criterion) -> Criterion:
        _criteria_by_name[name] = criterion
        return criterion

    return register


def judge(evidence: Evidence, service: ServiceStatistics) -> Finding:
    """Judges one agent by all criteria.

    Args:
        evidence: What is known of the agent.
        service: Figures of its service.

    Returns:
        The finding with the highest severity, or `HEALTHY`.
    """
    worst = HEALTHY
    for name, criterion in _criteria_by_name.items():
        severity = criterion(evidence, service)
        if severity >= 1.0 and severity > worst.severity:
            worst = Finding(name, severity)
    return worst


@register_criterion("slow_upstream")
def _slow_upstream(evidence: Evidence, service: ServiceStatistics) -> float:
    """Returns the severity of an upstream that is much slower than the others.

    Requests at it miss their objective although the other upstreams have free slots.
    """
    if _has_slow_openings(evidence, service):
        return 0.0
    return _slow_run(evidence, service)


@register_criterion("slow_openings")
def _slow_openings(evidence: Evidence, service: ServiceStatistics) -> float:
    """Returns the severity of an agent that is slow to answer openings.

    An opening is answered by the upstream through its agent, so the machine, the agent,
    the link or a slowly accepting upstream may be the cause.
    """
    if not _has_slow_openings(evidence, service):
        return 0.0
    excess = evidence.round_trip / MAX_ROUND_TRIP_SECONDS
    return max(_slow_run(evidence, service), excess)


@register_criterion("failing_fast")
def _failing_fast(evidence: Evidence, service: ServiceStatistics) -> float:
    """Returns the severity of an upstream that responds too fast to have worked.

    Responses with failures in 1 ms make an upstream look idle, so that it attracts the
    most flows.
    """
    report = evidence.report
    if report.samples < _required(MIN_FAST_SAMPLES, evidence):
        return 0.0
    if not service.run_seconds or not service.fast_run_seconds:
        return 0.0
    fast = max(report.fast_run_seconds, MIN_RUN_SECONDS)
    run = max(report.run_seconds, MIN_RUN_SECONDS)
    product = fast / service.fast_run_seconds * run / service.run_seconds
    return min(FAST_FRACTION * service.run_seconds / fast, FAST_RATIO_PRODUCT / product)


@register_criterion("hanging")
def _hanging(evidence: Evidence, service: ServiceStatistics) -> float:
    """Returns the severity of an upstream that never responds to some requests.

    Their callers wait until their deadline, while the requests hold its slots.
    """
    if evidence.stalled_reports < HANGING_REPORTS:
        return 0.0
    limit = stalled_limit(evidence.report.samples)
    return evidence.report.stalled / max(limit, STALLED_MEANS * service.stalled)


@register_criterion("failing")
def _failing(evidence: Evidence, _: ServiceStatistics) -> float:
    """Returns the severity of an upstream that resets flows or refuses openings.

    Each reset cuts a request that may not be repeated.
    """
    return evidence.report.failure_fraction / MAX_FAILURE_FRACTION


@register_criterion("unresponsive")
def _unresponsive(evidence: Evidence, _: ServiceStatistics) -> float:
    """Returns the severity of an agent that does not answer openings.

    Each of them is delayed until it is offered to a second agent.
    """
    return evidence.unanswered_openings / UNRESPONSIVE_OPENINGS


def stalled_limit(samples: int) -> float:
    """Returns the number of stalled requests that count as hanging.

    Args:
        samples: Recent responses of the upstream.
    """
    return max(MIN_STALLED, STALLED_FRACTION * samples)


def _slow_run(evidence: Evidence, service: ServiceStatistics) -> float:
    report = evidence.report
    if not service.run_seconds or report.samples < _required(
        MIN_SLOW_SAMPLES, evidence
    ):
        return 0.0
    has_enough = report.samples >= _required(MIN_SAMPLES, evidence)
    factor = SLOW_FACTOR if has_enough else 2 * SLOW_FACTOR
    return report.run_seconds / (factor * service.run_seconds)


def _has_slow_openings(evidence: Evidence, service: ServiceStatistics) -> bool:
    usual = service.round_trip_by_domain.get(evidence.failure_domain, 0.0)
    if not usual:
        return False
    limit = max(SLOW_FACTOR * usual, usual + ROUND_TRIP_MARGIN_SECONDS)
    return evidence.round_trip > limit


def _required(samples: int, evidence: Evidence) -> float:
    return samples * REPEAT_SAMPLE_FRACTION if evidence.is_repeat else samples
