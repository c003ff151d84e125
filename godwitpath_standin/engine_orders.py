"""The model that an engine runs, and the orders that change it."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import msgspec

from godwitpath.adapters.http_client import AnswerLost, HttpClient, NotSent
from godwitpath.ports.engine import EngineOrder, EngineStatus

DEFAULT_LOAD_TIME_S = 1.0
WEIGHTS_TIMEOUT_S = 2.0


class StaleFencingToken(Exception):
    """The fencing token of the order is older than the newest one received."""


class WeightLoadResponse(msgspec.Struct):
    """Response of the weight store to a load request.

    :ivar wait_s: time until the transfer is complete
    """

    wait_s: float


@dataclass(slots=True)
class LoadedModel:
    """The service, model and role that an engine runs; empty strings for none."""

    service: str
    model: str
    version: str
    adapters: list[str] = field(default_factory=list)
    role: str = "unified"


class EngineOrders:
    """Model and state of an engine, changed by orders.

    :param checks_fencing: whether orders with a stale fencing token are refused
    :param weights_url: base URL of the weight store; empty for a load time of
        `DEFAULT_LOAD_TIME_S`
    :ivar counts: orders applied (`taken`), refused for a stale fencing token (`fenced`) and applied
        despite one (`old_followed`), and loads started (`loads`)
    """

    def __init__(
        self, initial_model: LoadedModel, rng: random.Random, checks_fencing: bool, weights_url: str
    ) -> None:
        self._loaded_model = initial_model
        self._incarnation = f"{rng.getrandbits(64):016x}"
        self._checks_fencing = checks_fencing
        self._weights_url = weights_url.rstrip("/")
        self._state = "serving"
        self._detail = ""
        self._newest_fencing_token = 0
        self._load_task: asyncio.Task[None] | None = None
        self._client = HttpClient()
        self.counts = {"taken": 0, "fenced": 0, "old_followed": 0, "loads": 0}

    def refusal_reason(self, model: str) -> str:
        """Return why the engine refuses a generation of a model, empty when it accepts."""
        if not self._loaded_model.model:
            return "the engine runs no model"
        if self._state != "serving":
            return f"the engine is {self._state}"
        if model not in (self._loaded_model.model, *self._loaded_model.adapters):
            return f"the engine runs {self._loaded_model.model}"
        return ""

    def status(self) -> EngineStatus:
        """Return the state of the engine and the model that it runs."""
        loaded = self._loaded_model
        return EngineStatus(
            incarnation=self._incarnation,
            state=self._state,
            service=loaded.service,
            model=loaded.model,
            version=loaded.version,
            adapters=loaded.adapters,
            role=loaded.role,
            fencing=self._newest_fencing_token,
            detail=self._detail,
        )

    def apply(self, order: EngineOrder, fail_version: str) -> None:
        """Apply an order.

        :param fail_version: model version that fails to load
        :raises StaleFencingToken: the engine checks fencing tokens and has received a newer one
        """
        if order.fencing < self._newest_fencing_token:
            if self._checks_fencing:
                self.counts["fenced"] += 1
                raise StaleFencingToken(f"fencing number {self._newest_fencing_token} was seen")
            self.counts["old_followed"] += 1
        self._newest_fencing_token = max(self._newest_fencing_token, order.fencing)
        self.counts["taken"] += 1
        desired = LoadedModel(
            order.service, order.model, order.version, list(order.adapters), order.role
        )
        if desired == self._loaded_model and self._state in ("serving", "loading"):
            return
        same_weights = (desired.model, desired.version) == (
            self._loaded_model.model,
            self._loaded_model.version,
        )
        if same_weights and self._state == "serving":
            self._loaded_model = desired
            return
        if self._load_task is not None:
            self._load_task.cancel()
        self._loaded_model = desired
        self._state, self._detail = "loading", ""
        self.counts["loads"] += 1
        self._load_task = asyncio.create_task(self._load(desired, fail_version))

    def mark_leaving(self) -> None:
        """Refuse new generations; running ones continue."""
        self._state = "leaving"

    async def _load(self, desired: LoadedModel, fail_version: str) -> None:
        load_time_s = DEFAULT_LOAD_TIME_S
        if self._weights_url:
            path = f"/weights/{desired.model}/{desired.version}/load"
            try:
                response, body = await self._client.call(
                    "POST",
                    self._weights_url + path,
                    timeout_s=WEIGHTS_TIMEOUT_S,
                    max_bytes=4096,
                )
                if response.status != 200:
                    self._fail(f"the weight store answered with status {response.status}")
                    return
                load_time_s = msgspec.json.decode(body, type=WeightLoadResponse).wait_s
            except (NotSent, AnswerLost, msgspec.MsgspecError) as error:
                self._fail(f"the weight store failed: {error}")
                return
        await asyncio.sleep(load_time_s)
        if desired.version == fail_version:
            self._fail("the weights are broken")
            return
        if self._state == "loading":
            self._state = "serving"

    def _fail(self, detail: str) -> None:
        self._state, self._detail = "failed", detail
