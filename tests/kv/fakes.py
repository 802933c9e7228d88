"""The key-value stand-in without sockets, and a clock that tests set."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
from attrs import define

from siskinshift.kv.etcd import EtcdStore
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import CallClass
from siskinshift.kv.transport import HttpAnswer
from siskinshift.settings.loader import SettingsLoader
from siskinshift.standins.kv_state import AnswerLost
from siskinshift.standins.kv_state import KvState
from tests.conftest import SETTINGS_TEXT


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.settings.generated import Settings


@define
class FakeClock:
    """A clock that stands still until a test moves it."""

    now: float = 1000.0

    def __call__(self) -> float:
        return self.now


class DirectTransport:
    """Calls the stand-in's state in the same thread."""

    def __init__(self, state: KvState) -> None:
        self._state = state

    def post(self, path: str, body: bytes) -> HttpAnswer:
        try:
            status, answer = self._state.answer(path, orjson.loads(body))
        except AnswerLost as error:
            raise StoreOutcomeUnknownError("lost") from error
        garbage = self._state.faults.garbage
        return HttpAnswer(status, orjson.dumps(answer) if garbage is None else garbage)

    def stream(self, path: str, body: bytes) -> OneShotStream:
        if self._state.count(path) is not None:
            raise StoreUnavailableError("refused")
        create = orjson.loads(body)["create_request"]
        return OneShotStream(self._state, create)


class OneShotStream:
    """Sends what there is, then ends as after a silence."""

    def __init__(self, state: KvState, create: dict[str, str]) -> None:
        self._state = state
        self._create = create

    def __iter__(self) -> Iterator[bytes]:
        if self._state.faults.garbage is not None:
            yield self._state.faults.garbage
            return
        result, _ = self._state.events_from(self._create)
        yield orjson.dumps({"result": result})

    def close(self) -> None:
        return


def make_settings(extra: str = "") -> Settings:
    return SettingsLoader(source="test").load(SETTINGS_TEXT + extra)


def make_store(state: KvState, clock: FakeClock, extra: str = "") -> EtcdStore:
    """Makes a store with a budget that no test uses up unless it says so."""
    text = extra or "[kv]\ncall_rate = 1000\ncall_burst = 1000\n"
    return EtcdStore(
        make_settings(text).kv,
        call_class=CallClass.OPERATOR,
        transport=DirectTransport(state),
        clock=clock,
    )
