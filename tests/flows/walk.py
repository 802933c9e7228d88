"""Random walk over the events of a FlowNetwork, also usable as a long-running script.

`python -m tests.flows.walk FIRST_SEED LAST_SEED STEPS` prints the seeds that fail.
"""

from __future__ import annotations

import random
import sys
import traceback
from typing import TYPE_CHECKING

import attrs

from siskinshift.bench.flow_network import MAX_VIEW_DELAY_SECONDS
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
    """Loads settings with a settle_delay above the propagation delay of views."""
    settings = SettingsLoader(source="walk").load(SETTINGS_TEXT).flows
    return attrs.evolve(
        settings, settle_delay=MAX_VIEW_DELAY_SECONDS + 0.5, held_timeout=8.0
    )


class Walk:
    """Chooses events by weight with a seeded random generator."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.network = FlowNetwork(
            settings=flows_settings(),
            agents_by_class=AGENTS_BY_CLASS,
            balancers=BALANCERS,
            random=self.random,
        )

    def run(self, steps: int) -> None:
        """Runs steps with a check after each, and a final check after convergence."""
        for _ in range(steps):
            self.step()
            self.check()
        self.network.check_after_convergence()
        self.check()

    def check(self) -> None:
        assert not self.network.planned_breaks, self.network.planned_breaks
        assert not self.network.late_flows, self.network.late_flows
        assert self.network.misdelivered == 0
        assert self.network.max_hop_count <= self.network.settings.max_hops

    def step(self) -> None:
        """Runs one random event."""
        network, rng = self.network, self.random
        roll = rng.random() * 100
        if roll < 30:
            network.deliver(rng.randrange(1 << 16))
        elif roll < 34:
            network.deliver(rng.randrange(1 << 16), copy=True)
        elif roll < 37:
            network.drop_message(rng.randrange(1 << 16))
        elif roll < 52:
            network.deliver_update(rng.randrange(1 << 16))
        elif roll < 62:
            network.advance(rng.choice((0.05, 0.1, 0.5, 1.0, 3.0)))
        elif roll < 70:
            network.open_flow(rng.choice(("editor", "dossiers")))
        elif roll < 92:
            if network.flows:
                network.send(rng.choice(network.flows))
        elif roll < 94:
            if network.flows:
                network.end_flow(rng.choice(network.flows))
        else:
            self._change_members()

    def _change_members(self) -> None:
        network, rng = self.network, self.random
        name = rng.choice(tuple(AGENTS_BY_CLASS))
        ready = network.ready_agents(name)
        event = rng.choice(
            ("join", "drain", "leave", "weight", "weight", "crash", "restart", "pause")
        )
        if event == "join" and len(network.agents(name)) < MOST_AGENTS:
            network.join(name, rng.choice((100, 1000)))
        elif event == "leave":
            self._leave(name)
        elif len(ready) < 2:
            return
        elif event == "drain":
            network.drain(rng.choice(ready))
        elif event == "weight":
            network.change_weight(rng.choice(ready), rng.choice((100, 500, 1000)))
        elif event == "crash":
            network.crash(rng.choice(network.agents(name)))
        elif event == "pause":
            self.pause(rng.choice(ready))
        elif event == "restart":
            network.restart(rng.choice(ready))

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
    """Runs a range of seeds and prints those that fail."""
    failed_count = 0
    totals = {"delivered": 0, "created": 0, "unplanned": 0, "steps": 0, "notes": 0}
    drops: dict[str, int] = {}
    for seed in range(first, last):
        walk = None
        try:
            walk = Walk(seed)
            walk.run(steps)
        except AssertionError as error:
            failed_count += 1
            print(f"seed {seed}: {str(error)[:300]}", flush=True)
        except Exception:
            failed_count += 1
            print(f"seed {seed}: {traceback.format_exc()}", flush=True)
        if walk is not None:
            totals["delivered"] += walk.network.delivered
            totals["created"] += walk.network.created
            totals["unplanned"] += walk.network.unplanned_breaks
            totals["steps"] += steps
            totals["notes"] += walk.network.notes_sent
            for kind, count in walk.network.drops_by_kind.items():
                drops[kind.value] = drops.get(kind.value, 0) + count
    print(f"seeds {first}..{last - 1}: {failed_count} failed; {totals}; drops {drops}")


if __name__ == "__main__":
    with few_buckets():
        main(*(int(argument) for argument in sys.argv[1:4]))
