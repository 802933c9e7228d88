"""Builders shared by the tests of this package."""

from __future__ import annotations

from functools import cache
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import attrs

from siskinshift.core.requests import Request
from siskinshift.core.views import make_view
from siskinshift.load.gate import LoadGate
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.settings.loader import SettingsLoader


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.core.views import View
    from siskinshift.settings.generated import LoadSettings

SERVICE = "editor"
UNUSED_ENDPOINT = Endpoint("127.0.0.1", 1)
SETTINGS_TEXT = """
[node]
node_id = node-1
control_endpoint = 127.0.0.1:0
data_endpoint = 127.0.0.1:0
[keys]
current = a-key-of-sixteen-or-more
"""


@cache
def default_settings() -> LoadSettings:
    return SettingsLoader(source="test").load(SETTINGS_TEXT).load


def load_settings(**changes: Any) -> LoadSettings:
    return attrs.evolve(default_settings(), **changes)


FAILURE_DOMAIN = "fd"


def a_service(service_id: str = SERVICE, *, importance: int = 100) -> Service:
    return Service(
        service_id=service_id,
        addresses=(),
        mode=ServiceMode.REQUEST,
        upstream_class=SERVICE,
        groups=(Group("north", 1), Group("south", 1)),
        importance=importance,
    )


def an_agent(member_id: str, *, state: MemberState = MemberState.READY) -> Member:
    return Member(
        member_id=member_id,
        role=Role.AGENT,
        incarnation=1,
        version=1,
        state=state,
        region="r",
        failure_domain=FAILURE_DOMAIN,
        control=UNUSED_ENDPOINT,
        data=UNUSED_ENDPOINT,
        upstream_class=SERVICE,
    )


def a_view(agent_ids: Iterable[str], *services: Service) -> View:
    members = [an_agent(agent_id) for agent_id in agent_ids]
    return make_view(version=1, services=services or (a_service(),), members=members)


def a_gate(
    member_id: str = "a",
    *,
    peers: Iterable[str] = (),
    slots: int = 1,
    seed: int = 1,
    services: tuple[Service, ...] = (),
    ramp_duration: float = 0.0,
    now: float = 0.0,
    **changes: Any,
) -> LoadGate:
    gate = LoadGate(
        member_id=member_id,
        incarnation=1,
        slots=slots,
        ramp_duration=ramp_duration,
        settings=load_settings(**changes),
        random=Random(seed),
        now=now,
    )
    view = a_view((member_id, *peers), *services)
    gate.update(view, upstream_class=SERVICE)
    return gate


def a_request(
    request_id: int,
    *,
    service_id: str = SERVICE,
    group_id: str = "north",
    caller: str = "10.0.0.1",
    key: str = "",
    repeatable: bool = False,
    now: float = 0.0,
    deadline: float = 30.0,
    pinned: bool = False,
) -> Request:
    return Request(
        request_id=request_id,
        service_id=service_id,
        group_id=group_id,
        caller=caller,
        key=key,
        repeatable=repeatable,
        arrived_at=now,
        deadline=deadline,
        pinned=pinned,
    )
