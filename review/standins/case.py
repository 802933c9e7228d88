"""Runs a case and turns its result into the exit status of its script."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING

from standins.deployment import CannotRun
from standins.deployment import Deployment
from standins.records import Record


if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path


HELD, BROKEN, NOT_RUN = 0, 1, 2
# A script may take 120 s.
MAX_SECONDS = 114


def run_case(play: Callable[[Deployment, bool], bool], folder: Path) -> None:
    """Plays a case and exits with its status.

    Args:
        play: Called with the deployment and whether the disruption is played; returns
            whether the rule was broken.
        folder: Folder of the case.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {has_trouble}")
    status = NOT_RUN
    deployment = None

    def on_alarm(*_: object) -> None:
        raise CannotRun("the time is over")

    signal.signal(signal.SIGALRM, on_alarm)
    signal.alarm(MAX_SECONDS)
    try:
        deployment = Deployment(record)
        status = BROKEN if play(deployment, has_trouble) else HELD
    except CannotRun as error:
        record.add(f"not run: {error}")
    except Exception:
        record.add("not run: " + traceback.format_exc())
    finally:
        signal.alarm(0)
        if deployment is not None:
            deployment.stop()
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}
    record.add(f"result: {names[status]}")
    print(names[status])
    sys.stdout.flush()
    os._exit(status)
