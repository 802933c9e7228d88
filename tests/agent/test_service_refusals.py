"""Tests of refusing the requests of services that operators evacuated everywhere."""

from __future__ import annotations

import attrs
import pytest

from siskinshift.agent.service_refusals import ServiceRefusals
from siskinshift.core.errors import ErrorKind
from siskinshift.core.views import make_view
from siskinshift.messages.core import MemberState
from tests.load.builders import FAILURE_DOMAIN
from tests.load.builders import a_service
from tests.load.builders import an_agent


OTHER_DOMAIN = "other"


@pytest.mark.parametrize(
    ("evacuated", "refusal"),
    [
        ((), None),
        ((OTHER_DOMAIN,), None),
        ((FAILURE_DOMAIN,), ErrorKind.DRAINING),
        ((FAILURE_DOMAIN, OTHER_DOMAIN), ErrorKind.NO_UPSTREAM),
    ],
)
def test_the_refusal_depends_on_the_remaining_domains(
    evacuated: tuple[str, ...], refusal: ErrorKind | None
) -> None:
    """Guards against requests that an agent of an evacuated service runs or ignores.

    A caller is told to use a new connection only if one can reach another agent.
    """
    own = an_agent("own")
    other = attrs.evolve(an_agent("other"), failure_domain=OTHER_DOMAIN)
    service = attrs.evolve(a_service(), evacuated=evacuated)
    refusals = ServiceRefusals()

    refusals.update(make_view(version=1, services=[service], members=[own, other]), own)

    assert refusals.error_of(service.service_id) is refusal


def test_an_agent_that_is_gone_does_not_serve_the_rest() -> None:
    own = an_agent("own")
    gone = attrs.evolve(
        an_agent("gone"), failure_domain=OTHER_DOMAIN, state=MemberState.GONE
    )
    service = attrs.evolve(a_service(), evacuated=(FAILURE_DOMAIN,))
    refusals = ServiceRefusals()

    refusals.update(make_view(version=1, services=[service], members=[own, gone]), own)

    assert refusals.error_of(service.service_id) is ErrorKind.NO_UPSTREAM


def test_requests_are_accepted_again_as_soon_as_an_evacuation_ends() -> None:
    own = an_agent("own")
    service = attrs.evolve(a_service(), evacuated=(FAILURE_DOMAIN,))
    refusals = ServiceRefusals()
    refusals.update(make_view(version=1, services=[service], members=[own]), own)

    refusals.update(make_view(version=2, services=[a_service()], members=[own]), own)

    assert refusals.error_of(service.service_id) is None
