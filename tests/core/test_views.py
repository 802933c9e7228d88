"""Tests of the agents that a view lists for a service."""

from __future__ import annotations

import attrs

from siskinshift.core.views import make_view
from tests.load.builders import FAILURE_DOMAIN
from tests.load.builders import a_service
from tests.load.builders import an_agent


def test_agents_of_an_evacuated_domain_own_no_new_flows() -> None:
    """Guards against new HTTP/3 and datagram flows to an evacuated domain."""
    agents = [
        an_agent("here"),
        attrs.evolve(an_agent("there"), failure_domain="other"),
    ]
    service = attrs.evolve(a_service(), evacuated=(FAILURE_DOMAIN,))
    view = make_view(version=1, services=[service], members=agents)

    assert [a.member_id for a in view.eligible_agents_of(service)] == ["there"]
    assert len(view.agents_of(service)) == len(agents)
