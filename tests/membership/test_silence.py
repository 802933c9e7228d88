"""When silence becomes suspicion and expulsion."""

from __future__ import annotations

from siskinshift.membership.silence import SilenceWatch
from tests.membership.fleet import SETTINGS


def watch_of(*members: str, domain: str = "north/fd-1") -> SilenceWatch:
    watch = SilenceWatch(SETTINGS)
    for member_id in members:
        watch.watch(member_id, domain=domain, now=0.0)
        watch.heard(member_id, at=0.0)
    return watch


def check_until(watch: SilenceWatch, until: float) -> list[tuple[float, str, str]]:
    verdicts = []
    for step in range(round(until * 10) + 1):
        now = step / 10
        found = watch.check(now)
        verdicts += [(now, "suspect", one) for one in found.suspect]
        verdicts += [(now, "expel", one) for one in found.expel]
    return verdicts


def test_a_silent_member_is_suspect_and_then_gone() -> None:
    verdicts = check_until(watch_of("a-1"), 3.0)

    assert [kind for _, kind, _ in verdicts] == ["suspect", "expel"]
    assert verdicts[-1][0] <= SETTINGS.gone_after + 0.1


def test_nobody_is_judged_before_a_probe_could_be_answered() -> None:
    # At 10 % loss a hundred members a second became suspect and their news filled
    # the budget: a late check found them past both limits and asked nobody first.
    watch = watch_of("a-1")
    watch.check(0.7)
    watch.check(1.25)

    found = watch.check(1.9)

    assert found.probe == ("a-1",)
    assert found.suspect == ()
    watch.heard("a-1", at=1.91)
    assert watch.check(2.0).suspect == ()


def test_most_of_a_domain_at_once_is_doubted() -> None:
    verdicts = check_until(watch_of("a-1", "a-2", "a-3", "a-4"), 6.4)

    assert [kind for _, kind, _ in verdicts if kind == "expel"] == []


def test_doubt_ends_with_the_members_gone() -> None:
    limit = SETTINGS.gone_after * SETTINGS.doubt_factor

    verdicts = check_until(watch_of("a-1", "a-2", "a-3"), limit + 0.3)

    assert sum(kind == "expel" for _, kind, _ in verdicts) == 3
