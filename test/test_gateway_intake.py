"""Tests of the checks of a caller's request before it is forwarded."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from godwitpath.gateway.intake import Intake
from godwitpath.gateway.planned_stop import PlannedStop
from godwitpath.gateway.state_ages import StateAges
from godwitpath_standin.gateway.documents import configuration_document
from godwitpath_standin.gateway.store_core import StoreCore
from test.gateway_fleet import GROWN_BOUNDS, Daemon
from test.gateway_parts import json_bytes

CONTACT_S = GROWN_BOUNDS["contactMs"] / 1000
"""Time without disruption after which the bounds of the deployment hold."""


@pytest.mark.parametrize(
    ("path", "api_key", "age_s", "status"),
    [
        ("/absent/", b"", 0.0, 404),
        ("/absent/", b"", CONTACT_S, 404),
        ("/absent/", b"", CONTACT_S + 0.1, 503),
        ("/read/", b"unknown", CONTACT_S, 401),
        ("/read/", b"unknown", CONTACT_S + 0.1, 503),
    ],
)
async def test_a_daemon_out_of_touch_does_not_deny_what_it_may_not_know(
    path: str, api_key: bytes, age_s: float, status: int
) -> None:
    daemon = Daemon(StoreCore(), "d1", "a", 1, GROWN_BOUNDS)
    tenants = [{"name": "hule", "apiKeys": ["known"]}]
    value = json_bytes(configuration_document(tenants=tenants))
    daemon.catalogue.apply_configuration(value, 1, "test")
    daemon.ctx.ages = lambda: StateAges(age_s, 0.0)
    intake = Intake(daemon.ctx, PlannedStop(), asyncio.Event())
    request = SimpleNamespace(header=lambda _: b"shop.example", path=path)
    fields = SimpleNamespace(api_key=api_key)
    response = intake._check(request, fields)  # type: ignore[arg-type]
    assert not isinstance(response, tuple)
    assert response.status == status
    assert (response.retry_after_s is not None) == (status == 503)
