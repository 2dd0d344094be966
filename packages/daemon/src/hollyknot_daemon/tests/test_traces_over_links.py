"""Tests that a trace continues over the links between hosts."""

import asyncio
import json
import pathlib
from typing import Any

import aiohttp

from hollyknot_bench._fleet import SERVICE, FleetOptions, running_fleet
from hollyknot_bench.demo import headers, new_idempotency_key, until_ready

_TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
_TEST_TIMEOUT_S = 90.0


def _spans(directory: pathlib.Path) -> list[dict[str, Any]]:
    lines = [
        line
        for path in directory.glob("*.jsonl")
        for line in path.read_text().splitlines()
    ]
    spans = [json.loads(line) for line in lines]
    return [span for span in spans if span["trace_id"] == _TRACE_ID]


async def _claim_once(directory: pathlib.Path) -> None:
    options = FleetOptions(trace_dir=directory)
    async with (
        running_fleet(options) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await until_ready(session, fleet)
        url = fleet.callers_url("hall-a-host-1")
        sent = headers("caseworkers") | {
            "Idempotency-Key": new_idempotency_key(),
            "traceparent": f"00-{_TRACE_ID}-00f067aa0ba902b7-01",
        }
        path = f"{url}/v1/services/{SERVICE}/decisions"
        async with session.post(path, headers=sent) as response:
            assert response.status == 200


class TestTracesOverLinks:
    """The hop of a claim to another host is part of the caller's trace."""

    def test_claim_at_another_host_is_a_span(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(_TEST_TIMEOUT_S):
                await _claim_once(tmp_path)

        asyncio.run(bounded())
        spans = _spans(tmp_path)
        by_id = {span["span_id"]: span for span in spans}
        hops = [span for span in spans if span["name"] == "claim-hop"]
        far = [s for s in hops if s["resource"]["host.name"] != "hall-a-host-1"]
        assert far
        for hop in far:
            parent = by_id[hop["parent_id"]]
            assert parent["resource"]["host.name"] == "hall-a-host-1"
