"""Tests of the platform's settings file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import orjson
import pytest

from siskinshift.messages.core import Endpoint
from siskinshift.platform.settings import PATH_VARIABLE
from siskinshift.platform.settings import decode_node_settings
from siskinshift.platform.settings import load_node_settings
from siskinshift.platform.settings import settings_path
from siskinshift.settings.exceptions import SettingsError


AGENT_FILE = """
node-name = "side-1"
ip = "10.1.0.12"
zone = "zone-a"
region = "region-a"
port-range = [7720, 7735]
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]
heartbeat-ms = 770
app = "10.1.0.12:8165"
service = "editor"
a-field-to-come = true
[listen]
datagram-addr = "10.1.0.12:8172"
outbound = "10.1.0.12:8162"
readiness-addr = "10.1.0.12:8167"
control-plane = "10.1.0.12:8166"
[bounds]
grace-s = 6
[limits]
link-mbps = 7.0
[platform]
address = "10.200.1.7:8169"
min-ttl-ms = 1000
"""


def _document() -> dict[str, Any]:
    return tomllib.loads(AGENT_FILE)


def test_an_agents_file_is_decoded() -> None:
    settings = decode_node_settings(_document(), source="file")

    assert settings.node_id == "side-1"
    assert settings.failure_domain == "zone-a"
    assert settings.peer_port == 7720
    assert settings.seed_hosts == ("10.1.0.10", "10.2.0.40")
    assert settings.upstream == Endpoint("10.1.0.12", 8165)
    assert settings.upstream_outlet == Endpoint("10.1.0.12", 8162)
    assert settings.caller_packets == Endpoint("10.1.0.12", 8172)
    assert settings.heartbeat_interval == 0.77
    assert settings.leave_seconds == 6.0
    assert settings.link_bytes_per_second == 875_000.0
    assert settings.store.endpoint == Endpoint("10.200.1.7", 8169)
    assert settings.store.lease_minimum == 1.0


def test_a_balancers_file_needs_no_upstream() -> None:
    document = _document()
    for name in ("app", "service"):
        del document[name]
    del document["listen"]["outbound"]

    settings = decode_node_settings(document, source="file")

    assert settings.upstream is None
    assert settings.service_id == ""


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"node-name": 7}, "file: node-name: 7; allowed: a text"),
        ({"ip": None}, "file: ip: missing; allowed: a text"),
        ({"port-range": [1]}, "file: port-range: [1]; allowed: two ports"),
        ({"app": "x:y"}, "file: app: 'x:y'; allowed: host:port"),
        ({"seeds": "one"}, "file: seeds: 'one'; allowed: a list of host:port"),
        ({"platform": 1}, "file: platform: 1; allowed: a table"),
        (
            {"heartbeat-ms": 0},
            "file: heartbeat-ms: 0; allowed: a number, 10 to 60000",
        ),
        (
            {"bounds": {"grace-s": True}},
            "file: bounds.grace-s: True; allowed: a number, 0.1 to 3600",
        ),
    ],
)
def test_an_error_has_file_field_value_and_allowed_values(
    change: dict[str, Any], message: str
) -> None:
    document = {k: v for k, v in (_document() | change).items() if v is not None}

    with pytest.raises(SettingsError) as caught:
        decode_node_settings(document, source="file")

    assert str(caught.value) == message


def test_a_missing_or_malformed_file_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    with pytest.raises(SettingsError, match="can't be read"):
        load_node_settings(path)
    path.write_text("= nonsense")
    with pytest.raises(SettingsError, match="can't be read"):
        load_node_settings(path)


def test_the_path_comes_from_the_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(PATH_VARIABLE, raising=False)
    with pytest.raises(SettingsError, match="missing"):
        settings_path()
    monkeypatch.setenv(PATH_VARIABLE, "/some/file")
    assert Path(settings_path()) == Path("/some/file")


def test_the_same_fields_are_read_as_json(tmp_path: Path) -> None:
    """Deployments use JSON, which a node parses faster than TOML."""
    path = tmp_path / "settings"
    path.write_bytes(orjson.dumps(_document()))
    assert load_node_settings(path) == decode_node_settings(_document(), source="x")
    path.write_text('{"node-name": ')
    with pytest.raises(SettingsError, match="can't be read"):
        load_node_settings(path)
