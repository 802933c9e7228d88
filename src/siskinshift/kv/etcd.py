"""Adapter to the etcd v3 JSON-over-HTTP protocol.

Source: the published etcd v3 API (KV service) with its JSON mapping: bytes are
base64, 64-bit integers are strings.
"""

from __future__ import annotations

import base64
import http.client
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import orjson

from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Entry


if TYPE_CHECKING:
    from siskinshift.settings.generated import KvSettings


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _range_end(prefix: bytes) -> bytes:
    return prefix[:-1] + bytes([prefix[-1] + 1])


class EtcdStore:
    """Talks to one of the configured endpoints, the next one after a failure."""

    def __init__(self, settings: KvSettings) -> None:
        self._settings = settings
        self._next = 0

    def list_prefix(self, prefix: str) -> list[Entry]:
        """Reads all entries whose key begins with a prefix.

        Args:
            prefix: The prefix, not empty.

        Returns:
            The entries.

        Raises:
            StoreUnavailableError: No answer in time.
        """
        key = prefix.encode()
        body = {"key": _encode(key), "range_end": _encode(_range_end(key))}
        try:
            answer = self._call("/v3/kv/range", body)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        return [_entry(item) for item in answer.get("kvs", [])]

    def compare_and_put(self, key: str, value: bytes, *, revision: int) -> int | None:
        """Writes when the key is still at a revision.

        Args:
            key: The key.
            value: The new value.
            revision: Expected mod revision; 0 for a key that is absent.

        Returns:
            The new revision, or None when the key was at another one.

        Raises:
            StoreUnavailableError: It did not take effect.
            StoreOutcomeUnknownError: It may have taken effect.
        """
        encoded = _encode(key.encode())
        compare = {
            "key": encoded,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        put = {"request_put": {"key": encoded, "value": _encode(value)}}
        answer = self._call("/v3/kv/txn", {"compare": [compare], "success": [put]})
        if not answer.get("succeeded"):
            return None
        return int(answer["header"]["revision"])

    def _call(self, path: str, body: object) -> dict[str, Any]:
        if not self._settings.endpoints:
            raise StoreUnavailableError("no endpoint in the settings")
        endpoint = self._settings.endpoints[self._next % len(self._settings.endpoints)]
        connection = http.client.HTTPConnection(
            endpoint.host, endpoint.port, timeout=self._settings.timeout
        )
        try:
            connection.connect()
        except OSError as error:
            self._next += 1
            raise StoreUnavailableError(str(error)) from error
        try:
            connection.request("POST", path, body=orjson.dumps(body))
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            self._next += 1
            raise StoreOutcomeUnknownError(str(error)) from error
        finally:
            connection.close()
        if response.status != HTTPStatus.OK:
            raise StoreUnavailableError(f"status {response.status}")
        answer: dict[str, Any] = orjson.loads(data)
        return answer


def _entry(item: dict[str, str]) -> Entry:
    return Entry(
        key=base64.b64decode(item["key"]).decode(),
        value=base64.b64decode(item["value"]),
        revision=int(item["mod_revision"]),
    )
