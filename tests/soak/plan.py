"""What a soak does to which node, and when: drawn from the seed before it begins.

The timeline of a seed must not depend on how fast the machine is or on what callers
see meanwhile, or a seed that failed says nothing.
"""

from __future__ import annotations

from random import Random

from attrs import frozen


PAUSES_SECONDS = (0.0, 0.3, 1.0, 2.0)


@frozen
class FaultKind:
    """How a kind of fault is drawn.

    Attributes:
        name: Its name in timelines.
        targets: Names that one of them may meet.
        targets_maximum: Targets met at once at most.
        seconds_maximum: Longest time that it holds.
        variants: What it may do; one of them is drawn.
    """

    name: str
    targets: tuple[str, ...] = ()
    targets_maximum: int = 1
    seconds_maximum: float = 0.0
    variants: tuple[str, ...] = ("",)


@frozen
class Step:
    """One fault of a timeline.

    Attributes:
        kind: Name of the fault.
        targets: Nodes that it meets.
        seconds: How long it holds.
        variant: What it does.
        pause: Seconds until the next step; with 0 they come in a row.
    """

    kind: str
    targets: tuple[str, ...]
    seconds: float
    variant: str
    pause: float

    def __str__(self) -> str:
        words = (self.kind, self.variant, *self.targets, f"{self.seconds:.2f} s")
        return " ".join(word for word in words if word)


def draw_plan(
    kinds: tuple[FaultKind, ...], *, seed: int, seconds: float
) -> tuple[Step, ...]:
    """Draws a timeline.

    Args:
        kinds: Faults to choose from.
        seed: Decides all.
        seconds: Length of the timeline, faults and pauses.

    Returns:
        The steps in order.
    """
    random = Random(seed)
    steps: list[Step] = []
    planned = 0.0
    while planned < seconds:
        step = _draw_step(random.choice(kinds), random)
        steps.append(step)
        planned += step.seconds + step.pause
    return tuple(steps)


def _draw_step(kind: FaultKind, random: Random) -> Step:
    count = random.randint(1, kind.targets_maximum) if kind.targets else 0
    return Step(
        kind=kind.name,
        targets=tuple(random.sample(kind.targets, count)),
        seconds=random.random() * kind.seconds_maximum,
        variant=random.choice(kind.variants),
        pause=random.choice(PAUSES_SECONDS),
    )
