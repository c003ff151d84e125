"""Example settings files and configurations in the formats of the platform and the operator."""

from __future__ import annotations

from typing import Any

from godwitpath.ports.engine import Address

KEY = "key-of-hule"
"""API key of the client account in the configuration."""


def settings_document(
    store: Address | None = None, ports: list[int] | None = None, **changes: Any
) -> dict[str, Any]:
    """Return a settings file in the format of the platform.

    :param store: address of the store
    :param ports: ports for callers, readiness and peers
    :param changes: top-level fields to replace
    """
    caller_port, ready_port, peer_port = ports or [8221, 8224, 7600]
    return {
        "nodeName": "edge-a-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "region": "r",
        "zones": {"a": "r", "b": "r", "c": "far"},
        "listen": {"frontend": f"127.0.0.1:{caller_port}", "readiness": f"127.0.0.1:{ready_port}"},
        "portRange": [peer_port, peer_port],
        "seeds": [],
        "bootstrap": True,
        "limits": {"memoryMb": 300, "maxFds": 4100},
        "bounds": {"graceS": 8, "leaseMs": 3000, "enforceFencing": True, "usageWindowS": 5},
        "platform": {"address": str(store or Address("127.0.0.1", 1)), "ttlMinMs": 1000},
        "cloud": None,
        "heartbeatMs": 1200,
        "unknownField": [1, 2],
    } | changes


def route(name: str, prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration.

    :param changes: fields to replace
    """
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 1,
        "allowAnonymous": False,
        "sessionAffinity": False,
        "streamResume": False,
    } | changes


def configuration_document(**changes: Any) -> dict[str, Any]:
    """Return a configuration in the format of the operator.

    :param changes: top-level fields to replace
    """
    return {
        "version": 7,
        "routes": [
            route("read", "/read/", "idempotent", maxAttempts=2),
            route("book", "/book/", "non_idempotent"),
            route("plan", "/stream/", "streaming", service="lm", timeoutMs=6000),
            route(
                "digest",
                "/stream/digest/",
                "streaming",
                service="lm",
                timeoutMs=6000,
                maxAttempts=2,
                streamResume=True,
                gapAimMs=100,
            ),
            route("open", "/open/", "idempotent", allowAnonymous=True),
        ],
        "services": [
            {"name": "desk", "healthCheckPath": "/healthz", "maxConnections": 100},
            {
                "name": "lm",
                "healthCheckPath": "/healthz",
                "maxConnections": 100,
                "engine": {
                    "slots": 8,
                    "kvCapacity": 232000,
                    "models": [{"name": "m"}],
                    "moves": True,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule", "apiKeys": [KEY], "priority": 1}],
    } | changes
