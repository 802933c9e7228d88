"""Reduces the number of buckets for tests that build many tables."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from unittest import mock

from siskinshift.flows import bucket_claims
from siskinshift.flows import flow_lists
from siskinshift.routing import buckets


if TYPE_CHECKING:
    from collections.abc import Iterator


FEW_BUCKETS = 16


@contextlib.contextmanager
def few_buckets(count: int = FEW_BUCKETS) -> Iterator[None]:
    """Patches the bucket count, so that flows share buckets and tables are cheap."""
    with (
        mock.patch.object(buckets, "BUCKET_COUNT", count),
        mock.patch.object(bucket_claims, "ALL_BUCKETS", range(count)),
        mock.patch.object(flow_lists, "ALL_BUCKETS", range(count)),
    ):
        yield
