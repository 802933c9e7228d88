"""Tests of the requests that upload flow snapshots."""

from __future__ import annotations

import pytest

from siskinshift.connections.flow_snapshot import SnapshotUpdate
from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.connections.snapshot_requests import decode_result
from siskinshift.connections.snapshot_requests import decode_update
from siskinshift.connections.snapshot_requests import encode_result
from siskinshift.connections.snapshot_requests import encode_update_query
from siskinshift.core.http import HttpResponse


@pytest.mark.parametrize("revision", [None, 0, 7])
@pytest.mark.parametrize("is_unchanged", [True, False])
def test_updates_are_decoded_as_encoded(
    revision: int | None, is_unchanged: bool
) -> None:
    update = SnapshotUpdate(b"list", revision, is_unchanged)

    assert decode_update(encode_update_query(update), b"list") == update


@pytest.mark.parametrize(
    "result", [UploadResult(), UploadResult(True, 7), UploadResult(False, 0)]
)
def test_results_are_decoded_as_encoded(result: UploadResult) -> None:
    response = encode_result(result)

    decoded = decode_result(HttpResponse(response.status, response.body, {}))

    assert decoded == result


def test_messages_of_an_older_version_name_no_revision() -> None:
    """Guards against a rolling upgrade in which a snapshot is replaced blindly."""
    assert decode_update("again", b"list") == SnapshotUpdate(b"list", None, False)
    assert decode_result(HttpResponse(200, b"", {})) == UploadResult()
