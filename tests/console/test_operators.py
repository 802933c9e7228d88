"""Tests of the operators' commands against the API of a balancer over TLS."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

import fire
import pytest

from siskinshift.api.exceptions import OperatorsCallError
from siskinshift.console.exceptions import ArgumentError
from siskinshift.console.exceptions import ChangeNotFoundError
from siskinshift.console.operators import CLIENT_FILE_VARIABLE
from siskinshift.console.registry import load_commands
from siskinshift.core.errors import ErrorKind
from siskinshift.settings.exceptions import SettingsError
from tests.api.deployment import LOOPBACK
from tests.api.deployment import OPERATOR_TOKEN
from tests.api.deployment import ApiDeployment


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path


CREATE_COMMAND = "service create editor --addresses 10.0.0.1:443 --mode request"
CREATE_COMMAND += " --upstream-class editor"


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ApiDeployment]:
    deployment = ApiDeployment(tmp_path_factory.mktemp("api"))
    yield deployment
    deployment.stop()


@pytest.fixture
def run(
    deployment: ApiDeployment,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> Callable[[str], str]:
    authority = tmp_path / "authority.pem"
    authority.write_bytes(deployment.certificate)
    client_file = tmp_path / "client.ini"
    client_file.write_text(
        f"[client]\nendpoint = {LOOPBACK}:{deployment.balancer.operators_ports[0]}\n"
        f"token = {OPERATOR_TOKEN}\nauthority_file = {authority}\n"
        "reach_timeout = 20\n"
    )
    monkeypatch.setenv(CLIENT_FILE_VARIABLE, str(client_file))

    def run_command(line: str) -> str:
        capsys.readouterr()
        fire.Fire(load_commands(), command=line.split(), name="siskinshift")
        captured = capsys.readouterr()
        # Tests of warnings read it with their own `capsys`.
        sys.stderr.write(captured.err)
        return captured.out.strip()

    return run_command


def test_the_life_cycle_of_a_service(run: Callable[[str], str], tmp_path: Path) -> None:
    token_file = tmp_path / "token"
    token_file.write_text("a token of the treasurers\n")

    assert run(CREATE_COMMAND).startswith("accepted at revision")
    run(f"group put editor treasurers --share 3 --token-file {token_file}")
    run("group put editor volunteers --share 1")
    run("group share editor volunteers 2")
    changed = json.loads(run("drain start editor editor-3 --output json"))
    assert run(f"change find {changed['change_id']}").startswith("editor: took effect")
    _wait_for_revision(run, changed["revision"])

    (service,) = json.loads(run("service list --output json"))
    assert service["drained"] == ["editor-3"]
    run("evacuation start domain-a")
    run("evacuation start domain-b --service-id editor")
    assert run("evacuation start domain-b --service-id none").startswith("no service")
    stopped = run("evacuation stop domain-b")
    assert stopped.startswith("editor: accepted at revision")
    _wait_for_revision(run, int(stopped.rpartition(" ")[2]))
    (service,) = json.loads(run("service list --output json"))
    assert service["evacuated"] == ["domain-a"]
    shares = {group["group_id"]: group["share"] for group in service["groups"]}
    assert shares == {"treasurers": 3, "volunteers": 2}
    assert "treasurers" in run("group list editor")
    assert "editor" in run("service list")

    revision = service["revision"]
    replaced = json.loads(
        run(
            f"service replace editor --revision {revision}"
            " --addresses 10.0.0.1:443,10.0.0.2:443 --output json"
        )
    )
    _wait_for_revision(run, replaced["revision"])
    (service,) = json.loads(run("service list --output json"))
    assert len(service["addresses"]) == 2
    assert len(service["groups"]) == 2

    run(f"service delete editor --revision {service['revision']}")


def test_evacuating_a_domain_without_instances_warns_and_takes_effect(
    run: Callable[[str], str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a misspelt domain that is accepted without a word."""
    run(CREATE_COMMAND)
    (member,) = json.loads(run("status --output json"))["members"]
    assert member["role"] == "balancer"

    changes = json.loads(run("evacuation start no-such-domain --output json"))
    assert capsys.readouterr().err == (
        "siskinshift: warning: no upstream instance is in failure domain"
        " no-such-domain;"
        " domains with upstream instances: none\n"
    )
    _wait_for_revision(run, changes[0]["revision"])
    (service,) = json.loads(run("service list --output json"))
    assert service["evacuated"] == ["no-such-domain"]
    run(f"service delete editor --revision {service['revision']}")


def test_status_reports_the_store(run: Callable[[str], str]) -> None:
    text = run("status")

    assert "key-value service answers" in text
    assert json.loads(run("status --output json"))["store_available"] is True


@pytest.mark.parametrize(
    ("line", "kind"),
    [
        ("service delete nothing --revision 1", ErrorKind.NOT_FOUND),
        ("group put nothing a --share 1", ErrorKind.NOT_FOUND),
        (f"{CREATE_COMMAND} --importance -5", ErrorKind.INVALID_ARGUMENT),
    ],
)
def test_a_refused_change_has_an_error_kind(
    run: Callable[[str], str], line: str, kind: ErrorKind
) -> None:
    with pytest.raises(OperatorsCallError) as raised:
        run(line)

    assert raised.value.kind is kind


@pytest.mark.parametrize(
    "line",
    [
        "service list --output yaml",
        "service create editor --addresses nowhere --mode request --upstream-class e",
        "service create editor --addresses 10.0.0.1:1 --mode tcp --upstream-class e",
        "service replace nothing --revision 1",
        "group put editor a --share 1 --token-file /nonexistent/token",
    ],
)
def test_an_invalid_argument_is_reported(run: Callable[[str], str], line: str) -> None:
    with pytest.raises(ArgumentError, match=r"allowed|not in force|can't be read"):
        run(line)


def test_an_unknown_change_is_not_found(run: Callable[[str], str]) -> None:
    with pytest.raises(ChangeNotFoundError):
        run("change find no-such-change")


def test_a_missing_client_file_is_reported(run: Callable[[str], str]) -> None:
    with pytest.raises(SettingsError, match=r"missing\.ini"):
        run("status --client /nonexistent/missing.ini")


def _wait_for_revision(run: Callable[[str], str], revision: int) -> None:
    for _ in range(200):
        status = json.loads(run("status --output json"))
        if status["configuration_revision"] >= revision:
            return
    raise AssertionError("the change did not come into force")
