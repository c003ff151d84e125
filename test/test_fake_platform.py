"""Platform core and its fake: lagging list, reclaims, spares and rate-limited weight loads."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.ports.engine import Address
from godwitpath.ports.platform import (
    CloudRefused,
    Instance,
    Offer,
    PlatformUnavailable,
    WeightVersion,
)
from godwitpath_standin.fakes.platform import FakePlatform, loop_platform
from godwitpath_standin.platform_core import WEIGHTS_BYTES_PER_S, Spare

pytestmark = pytest.mark.looptime

ADDRESS = Address("127.0.0.1", 1)
OFFER = Offer("r", "z", "gpu", True, 1.0)


def instance(name: str, zone: str = "z") -> Instance:
    return Instance(name, "s", "r", zone, "live", "gpu", True, 1.0, ADDRESS)


async def test_reclaim_notice_arrives_before_the_lagging_list_changes() -> None:
    platform = FakePlatform(loop_platform(list_lag_s=5.0))
    platform.core.register([instance("a"), instance("b", "other")])
    await asyncio.sleep(6.0)
    next_notice = asyncio.ensure_future(anext(platform.notices()))
    await asyncio.sleep(0.1)
    assert platform.core.reclaim("z", 30.0) == ["a"]
    notice = await next_notice
    assert (notice.instance_id, notice.notice_s) == ("a", 30.0)
    assert {item.state for item in await platform.instances()} == {"live"}
    await asyncio.sleep(6.0)
    states = {item.instance_id: item.state for item in await platform.instances()}
    assert states == {"a": "leaving", "b": "live"}
    await asyncio.sleep(30.0)
    assert [item.instance_id for item in await platform.instances()] == ["a", "b"]
    await asyncio.sleep(6.0)
    assert [item.instance_id for item in await platform.instances()] == ["b"]


async def test_same_request_token_returns_the_same_instance() -> None:
    platform = FakePlatform()
    platform.core.register([], [Spare("x", "r", "z", "gpu", ADDRESS)])
    first = await platform.acquire(OFFER, "s", "token")
    assert await platform.acquire(OFFER, "s", "token") == first
    with pytest.raises(CloudRefused):
        await platform.acquire(OFFER, "s", "other")
    await platform.release("x")
    assert (await platform.acquire(OFFER, "s", "third")).instance_id == "x"


async def test_refusal_and_outage_raise_different_errors() -> None:
    platform = FakePlatform()
    platform.core.register([], [Spare("x", "r", "z", "gpu", ADDRESS)])
    platform.core.refuse_instances = True
    with pytest.raises(CloudRefused):
        await platform.acquire(OFFER, "s", "token")
    platform.outage = True
    with pytest.raises(PlatformUnavailable):
        await platform.instances()


async def test_weight_store_serves_loads_one_after_another() -> None:
    core = loop_platform()
    core.set_versions([WeightVersion("m", "1", 3 * WEIGHTS_BYTES_PER_S, [])])
    assert core.queue_transfer("m", "1") == pytest.approx(3.0)
    assert core.queue_transfer("m", "1") == pytest.approx(6.0)
    assert core.queue_transfer("m", "2") is None
