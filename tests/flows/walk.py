"""A random walk over the events of a FlowNetwork; also runs long by itself.

`python -m tests.flows.walk FIRST_SEED LAST_SEED STEPS` prints what it found.
"""

from __future__ import annotations

import random
import sys
import traceback
from typing import TYPE_CHECKING

import attrs

from siskinshift.bench.flow_network import VIEW_DELAY_MAXIMUM
from siskinshift.bench.flow_network import FlowNetwork
from siskinshift.settings.loader import SettingsLoader
from tests.conftest import SETTINGS_TEXT
from tests.flows.buckets import few_buckets


if TYPE_CHECKING:
    from siskinshift.settings.generated import FlowsSettings


AGENTS_BY_CLASS = {"editor": 4, "dossiers": 2}
BALANCERS = 2
MOST_AGENTS = 8


def flows_settings() -> FlowsSettings:
    """Loads settings in which settle_delay is above the spread of views, as it must."""
    settings = SettingsLoader(source="walk").load(SETTINGS_TEXT).flows
    return attrs.evolve(
        settings, settle_delay=VIEW_DELAY_MAXIMUM + 0.5, held_timeout=8.0
    )


class Walk:
    """Chooses events by weight from an injected generator."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.network = FlowNetwork(
            settings=flows_settings(),
            agents_by_class=AGENTS_BY_CLASS,
            balancers=BALANCERS,
            random=self.random,
        )

    def run(self, steps: int) -> None:
        """Takes steps, checks the oracle after each, and settles at the end."""
        for _ in range(steps):
            self.step()
            self.check()
        self.network.check_after_settling()
        self.check()

    def check(self) -> None:
        assert not self.network.planned_breaks, self.network.planned_breaks
        assert not self.network.late_flows, self.network.late_flows
        assert self.network.misdelivered == 0
        assert self.network.hops_maximum <= self.network.settings.max_hops

    def step(self) -> None:
        """Takes one event."""
        network, draw = self.network, self.random
        point = draw.random() * 100
        if point < 30:
            network.deliver(draw.randrange(1 << 16))
        elif point < 34:
            network.deliver(draw.randrange(1 << 16), copy=True)
        elif point < 37:
            network.lose(draw.randrange(1 << 16))
        elif point < 52:
            network.deliver_news(draw.randrange(1 << 16))
        elif point < 62:
            network.advance(draw.choice((0.05, 0.1, 0.5, 1.0, 3.0)))
        elif point < 70:
            network.open_flow(draw.choice(("editor", "dossiers")))
        elif point < 92:
            if network.flows:
                network.send(draw.choice(network.flows))
        elif point < 94:
            if network.flows:
                network.end_flow(draw.choice(network.flows))
        else:
            self._change_members()

    def _change_members(self) -> None:
        network, draw = self.network, self.random
        name = draw.choice(tuple(AGENTS_BY_CLASS))
        ready = network.ready_agents(name)
        event = draw.choice(
            ("join", "drain", "leave", "weight", "weight", "die", "restart", "pause")
        )
        if event == "join" and len(network.agents(name)) < MOST_AGENTS:
            network.join(name, draw.choice((100, 1000)))
        elif event == "leave":
            self._leave(name)
        elif len(ready) < 2:
            return
        elif event == "drain":
            network.drain(draw.choice(ready))
        elif event == "weight":
            network.change_weight(draw.choice(ready), draw.choice((100, 500, 1000)))
        elif event == "die":
            network.die(draw.choice(network.agents(name)))
        elif event == "pause":
            self.pause(draw.choice(ready))
        elif event == "restart":
            network.restart(draw.choice(ready))

    def pause(self, member_id: str) -> None:
        paused = [n for n in self.network.nodes_by_id.values() if n.paused]
        if not paused:
            self.network.pause(member_id)

    def _leave(self, name: str) -> None:
        for member_id in self.network.agents(name):
            drained = member_id not in self.network.ready_agents(name)
            if drained and not self.network.owned_flows(member_id):
                self.network.leave(member_id)
                return


def main(first: int, last: int, steps: int) -> None:
    """Runs seeds and prints those that fail."""
    failed = 0
    totals = {"delivered": 0, "created": 0, "unplanned": 0, "steps": 0, "notes": 0}
    drops: dict[str, int] = {}
    for seed in range(first, last):
        walk = None
        try:
            walk = Walk(seed)
            walk.run(steps)
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {str(error)[:300]}", flush=True)
        except Exception:
            failed += 1
            print(f"seed {seed}: {traceback.format_exc()}", flush=True)
        if walk is not None:
            totals["delivered"] += walk.network.delivered
            totals["created"] += walk.network.created
            totals["unplanned"] += walk.network.unplanned_breaks
            totals["steps"] += steps
            totals["notes"] += walk.network.notes_sent
            for kind, count in walk.network.drops_by_kind.items():
                drops[kind.value] = drops.get(kind.value, 0) + count
    print(f"seeds {first}..{last - 1}: {failed} failed; {totals}; drops {drops}")


if __name__ == "__main__":
    with few_buckets():
        main(*(int(argument) for argument in sys.argv[1:4]))
