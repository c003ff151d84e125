"""Configurations with odd values: whatever they contain, one readable error."""

from __future__ import annotations

import asyncio
import json
import tracemalloc

import pytest
from hypothesis import given

from godwitpath.gateway.model import Configuration
from godwitpath.platform.configuration import (
    CONFIGURATION_KEY,
    ConfigurationUnreadable,
    decode_configuration,
)
from godwitpath_standin.gateway.caller import ask
from godwitpath_standin.gateway.documents import configuration_document
from test.gateway_parts import gateway_environment
from test.mutations import DEEP, values_of_others

DOCUMENT = configuration_document()
DOCUMENT["tenants"][0] |= {"ratePerS": 10, "burst": 20, "unit": "tokens", "plainTokens": 3}
DOCUMENT["services"][1]["scaling"] = {
    "minReplicas": 1,
    "maxReplicas": 4,
    "bootS": 9,
    "spotPrice": 0.4,
    "zonePrices": {"a": 1.0},
}
DOCUMENT["routes"][0]["weightedServices"] = [{"service": "desk", "weight": 1}]

MAX_NUMBER = 2**53


def numbers(configuration: Configuration) -> list[float]:
    """Return the numbers of a configuration that enter calculations and messages."""
    limits = configuration.limits
    found: list[float] = [configuration.version, limits.max_header_bytes, limits.max_body_bytes]
    found += [limits.header_timeout_s, limits.idle_timeout_s]
    for route in configuration.routes:
        found += [route.timeout_s, route.target_latency_s, route.max_gap_s, route.priority]
        found += [route.max_attempts, *(weight for _, weight in route.weighted_services)]
    for account in configuration.accounts:
        found += [account.rate_per_s, account.burst, account.plain_tokens, account.priority or 0]
    for service in configuration.services.values():
        found.append(service.max_connections)
        if service.engine is not None:
            found += [service.engine.slots, service.engine.cache_tokens, service.engine.pin_limit_s]
        if (scaling := service.scaling) is not None:
            found += [scaling.min_per_zone, scaling.max_per_zone, scaling.boot_s]
            found += [scaling.reclaimable_price or 0, *scaling.zone_prices.values()]
    return found


@given(values_of_others(DOCUMENT))
def test_any_configuration_is_within_bounds_or_unreadable(value: bytes) -> None:
    try:
        configuration = decode_configuration(value, 1)
    except ConfigurationUnreadable:
        return
    assert all(-MAX_NUMBER <= number <= MAX_NUMBER for number in numbers(configuration))


@pytest.mark.parametrize(
    "notes", [b"[" * DEEP + b"]" * DEEP, b'[{"name": ' + b"[" * 990 + b"]" * 990 + b"}]"]
)
def test_a_nested_value_is_unreadable_or_ignored(notes: bytes) -> None:
    value = json.dumps(DOCUMENT).encode()
    for field in (b"notes", b"models"):
        try:
            decode_configuration(value[:-1] + b',"' + field + b'":' + notes + b"}", 1)
            decode_configuration(value.replace(b'[{"name": "m"}]', notes), 1)
        except ConfigurationUnreadable:
            continue


async def test_an_unreadable_configuration_leaves_the_one_before_in_force_and_followed() -> None:
    async with gateway_environment({"d1": "desk"}) as environment:
        value = json.dumps(configuration_document(version=8)).encode()
        nested = b',"notes":' + b"[" * DEEP + b"]" * DEEP + b"}"
        environment.core.put(CONFIGURATION_KEY, value[:-1] + nested)
        await asyncio.sleep(0.3)
        assert (await ask(environment.port, "/read/x")).status == 200
        environment.configure(version=9, routes=[])
        await asyncio.sleep(0.3)
        assert (await ask(environment.port, "/read/x", request_id="r2")).status == 404
        lines = await environment.log()
        kinds = [line["message_type"] for line in lines]
        assert kinds.count("configuration_unreadable") == 1


@pytest.mark.parametrize(
    "value",
    [
        b'{"version":1,"routes":['
        + b",".join([b'{"name":"r","host":"h","prefix":"/","kind":"k"}'] * 60_000)
        + b"]}",
        b'{"version":1,"tenants":[{"name":"t","apiKeys":[' + b'"k",' * 300_000 + b'"k"]}]}',
    ],
    ids=["routes", "keys"],
)
def test_a_configuration_of_very_many_parts_is_refused_before_objects_are_made_of_them(
    value: bytes,
) -> None:
    tracemalloc.start()
    try:
        with pytest.raises(ConfigurationUnreadable, match="more than 250000 parts: 300"):
            decode_configuration(value, 1)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 1_000_000


def test_a_configuration_of_many_routes_is_read() -> None:
    routes = [{"name": f"r{each}", "host": "h", "prefix": "/", "kind": "k"} for each in range(5000)]
    value = json.dumps({"version": 1, "routes": routes}).encode()
    assert len(decode_configuration(value, 1).routes) == 5000
