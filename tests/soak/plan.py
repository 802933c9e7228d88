"""Draws the timeline of a soak from its seed, before the soak starts.

The timeline of a seed depends neither on the speed of the machine nor on the responses
that callers get, so that a failed seed can be repeated.
"""

from __future__ import annotations

from random import Random

from attrs import frozen


PAUSES_SECONDS = (0.0, 0.3, 1.0, 2.0)


@frozen
class FaultKind:
    """A kind of fault and the ranges from which its parameters are drawn.

    Attributes:
        name: Name in timelines.
        targets: Names of the nodes that it can affect.
        max_targets: Maximum number of nodes that one fault affects.
        max_duration_seconds: Longest duration.
        variants: Variants, one of which is drawn.
    """

    name: str
    targets: tuple[str, ...] = ()
    max_targets: int = 1
    max_duration_seconds: float = 0.0
    variants: tuple[str, ...] = ("",)


@frozen
class Step:
    """One fault of a timeline.

    Attributes:
        kind: Name of the kind of fault.
        targets: Names of the affected nodes.
        duration_seconds: How long the fault lasts.
        variant: Variant of the fault.
        pause_seconds: Time until the next step; 0 for a step right after this one.
    """

    kind: str
    targets: tuple[str, ...]
    duration_seconds: float
    variant: str
    pause_seconds: float

    def __str__(self) -> str:
        words = (
            self.kind,
            self.variant,
            *self.targets,
            f"{self.duration_seconds:.2f} s",
        )
        return " ".join(word for word in words if word)


def draw_plan(
    kinds: tuple[FaultKind, ...], *, seed: int, seconds: float
) -> tuple[Step, ...]:
    """Draws a timeline.

    Args:
        kinds: Kinds of faults to choose from.
        seed: Seed of all random draws.
        seconds: Length of the timeline, including faults and pauses.

    Returns:
        The steps in order.
    """
    random = Random(seed)
    steps: list[Step] = []
    planned_seconds = 0.0
    while planned_seconds < seconds:
        step = _draw_step(random.choice(kinds), random)
        steps.append(step)
        planned_seconds += step.duration_seconds + step.pause_seconds
    return tuple(steps)


def _draw_step(kind: FaultKind, random: Random) -> Step:
    count = random.randint(1, kind.max_targets) if kind.targets else 0
    return Step(
        kind=kind.name,
        targets=tuple(random.sample(kind.targets, count)),
        duration_seconds=random.random() * kind.max_duration_seconds,
        variant=random.choice(kind.variants),
        pause_seconds=random.choice(PAUSES_SECONDS),
    )
