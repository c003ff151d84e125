"""Runs a deployment as separate processes and stops them at the end."""

from __future__ import annotations

import asyncio
import json
import secrets
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec

from godwitpath.adapters.http_client import AnswerLost, HttpClient, NotSent
from godwitpath.adapters.kv_http import HttpKeyValueStore
from godwitpath.config.submit import SubmitResult, submit
from godwitpath.ports.engine import Address
from godwitpath.ports.platform import Instance, Offer, WeightVersion
from godwitpath.security.curve import generate_key_pair
from godwitpath_standin.deployments import DEPLOYMENTS
from godwitpath_standin.platform_app import PlatformState
from godwitpath_standin.platform_core import Spare
from godwitpath_standin.ports import ReservedPorts
from godwitpath_standin.process import Process

READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 16_777_216
ENGINE_PRICE_PER_H = 1.0
WEIGHTS_BYTES = 1_000_000_000


class FleetNotReady(Exception):
    """An entry did not become ready in time."""


class Fleet:
    """A running deployment; entries and engines are numbered from 1.

    :param deployment: name of the deployment
    :param entries: number of entries
    :param seed: seed from which the seed of each process is derived
    :param engine_options: further command-line options for every engine
    :param engines: number of engines by generation service; the deployment's own when None
    :param configuration_text: configuration to submit; the deployment's own when empty
    :param spares: engines without a model that the cloud can provide, per generation service
    :param disabled_mechanism: mechanism that the entries disable, see
        :mod:`godwitpath_standin.disabled_mechanisms`
    :ivar deployment: definition of the deployment
    :ivar operator_key: key of the operator addresses
    :ivar log_folder: folder of the settings files and of the error output of each process
    """

    def __init__(
        self,
        deployment: str = "ramdin",
        entries: int = 6,
        seed: int = 1,
        engine_options: list[str] | None = None,
        engines: dict[str, int] | None = None,
        configuration_text: str = "",
        spares: int = 0,
        disabled_mechanism: str = "",
    ) -> None:
        self.deployment = DEPLOYMENTS[deployment]
        self.operator_key = secrets.token_hex(16)
        self._engine_counts = engines or self.deployment.engines
        self._configuration_text = configuration_text or self.deployment.configuration_text()
        self._entry_count = entries
        self._disabled_mechanism = disabled_mechanism
        self._spare_count = spares
        self._spares: list[Spare] = []
        self._ports: ReservedPorts | None = None
        self._seed = seed
        self._engine_options = engine_options or []
        self._folder = tempfile.TemporaryDirectory(prefix="godwitpath-fleet-")
        self.log_folder = Path(self._folder.name)
        self._processes: dict[str, Process] = {}
        self._client = HttpClient()
        self._instances: dict[str, Instance] = {}

    async def __aenter__(self) -> Fleet:
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stop()

    @property
    def engine_price_per_h(self) -> float:
        """Price of an engine per hour."""
        return ENGINE_PRICE_PER_H

    @property
    def kv(self) -> Process:
        """Process of the key-value service."""
        return self._processes["kv"]

    @property
    def platform(self) -> Process:
        """Process with the cloud API, the instance list and the weight store."""
        return self._processes["platform"]

    @property
    def entries(self) -> list[Process]:
        """Processes of all entries, including those that have exited."""
        return [self.entry(number) for number in range(1, self._entry_count + 1)]

    def entry(self, number: int) -> Process:
        """Return the process of an entry."""
        return self._processes[f"entry-{number}"]

    def engine(self, service: str, number: int) -> Process:
        """Return the process of an engine."""
        return self._processes[f"{service}-{number}"]

    @property
    def engines(self) -> list[Process]:
        """Processes of all engines except spares, including those that have exited."""
        names = [
            f"{service}-{number}"
            for service, count in self._engine_counts.items()
            for number in range(1, count + 1)
        ]
        return [self._processes[name] for name in names]

    def plain_service_process(self) -> Process:
        """Return the process of the plain service."""
        return self._processes[self.deployment.plain_service]

    def zone_of(self, name: str) -> str:
        """Return the availability zone of an entry, engine or plain service."""
        return self._instances[name].availability_zone

    def caller_url(self, number: int) -> str:
        """Return the base URL of an entry for callers."""
        return f"http://{self.entry(number).addresses['caller']}"

    def operator_url(self, number: int) -> str:
        """Return the base URL of an entry for operators."""
        return f"http://{self.entry(number).addresses['operator']}"

    def url(self, name: str) -> str:
        """Return the base URL of a stand-in."""
        return f"http://{self._processes[name].addresses['listening']}"

    def addresses(self) -> dict[str, Any]:
        """Return the addresses that each process listens on, with the operator key and API keys."""
        addresses = {name: process.addresses for name, process in self._processes.items()}
        keys = {"operator_key": self.operator_key, "api_keys": self.deployment.api_keys()}
        return {**addresses, **keys}

    async def set_faults(self, name: str, changes: dict[str, Any]) -> dict[str, Any]:
        """Set faults of a stand-in, such as `kv`, `platform` or `planner-lm-1`.

        :returns: all faults of the stand-in after the change
        """
        body = json.dumps(changes).encode()
        return await self._request("POST", f"{self.url(name)}/faults", body)

    async def stats(self, name: str) -> dict[str, Any]:
        """Return the counters of a stand-in."""
        return await self._request("GET", f"{self.url(name)}/stats")

    async def executions(self) -> dict[str, int]:
        """Return the number of executions by idempotency key, counted by the plain service."""
        return await self._request("GET", f"{self.url(self.deployment.plain_service)}/executions")

    async def admin(self, number: int, path: str) -> dict[str, Any]:
        """Return the response of an operator path of an entry, such as `/admin/state`."""
        return await self._request("GET", self.operator_url(number) + path, b"", self._key_header())

    async def submit(self, text: str, reason: str = "started") -> SubmitResult:
        """Submit a configuration to the store."""
        store = HttpKeyValueStore(self.url("kv"), CALL_TIMEOUT_S)
        try:
            return await submit(store, text, "fleet", reason)
        finally:
            await store.close()

    async def restart_entry(self, number: int) -> None:
        """Start an entry that has exited again, with the same settings."""
        await self.entry(number).start()

    async def wait_ready(self, numbers: list[int] | None = None) -> None:
        """Wait until entries are ready.

        :param numbers: numbers of the entries; all entries when None or empty
        :raises FleetNotReady: an entry is not ready within `READY_TIMEOUT_S`
        """
        entry_numbers = numbers or list(range(1, self._entry_count + 1))
        await asyncio.gather(*(self._wait_entry(number) for number in entry_numbers))

    async def stop(self) -> None:
        """Stop every process and release all resources."""
        # Entries are killed first, so that no entry reacts to the loss of its upstreams.
        entries = [item for name, item in self._processes.items() if name.startswith("entry-")]
        others = [item for name, item in self._processes.items() if not name.startswith("entry-")]
        for process in entries:
            process.kill()
        await asyncio.gather(*(process.stop() for process in entries))
        await asyncio.gather(*(process.stop() for process in others))
        if self._ports is not None:
            self._ports.release()
        await self._client.close()
        self._folder.cleanup()

    async def _start(self) -> None:
        await asyncio.gather(
            self._launch("kv", ["godwitpath_standin", "kv", "--seed", str(self._seed)]),
            self._launch("platform", ["godwitpath_standin", "platform"]),
        )
        upstream_starts = [self._start_plain_service()]
        position = 0
        for service, count in self._engine_counts.items():
            for number in range(1, count + 1):
                upstream_starts.append(self._start_engine(service, number, position))
                position += 1
            for number in range(1, self._spare_count + 1):
                upstream_starts.append(self._start_spare(service, number, position + number))
        await asyncio.gather(*upstream_starts)
        await self.submit(self._configuration_text)
        await self._register(self._offers(), self._versions(), self._spares)
        await self._start_entries()
        await self._register([], [], [])
        await self.wait_ready()

    async def _launch(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self.log_folder)
        self._processes[name] = process
        await process.start()
        return process

    async def _start_plain_service(self) -> None:
        name = self.deployment.plain_service
        process = await self._launch(name, ["godwitpath_standin", "service"])
        self._add_instance(name, name, 0, process.addresses["listening"], "plain")

    async def _start_engine(self, service: str, number: int, position: int) -> None:
        service_spec = self.deployment.configuration()["services"][service]
        arguments = ["godwitpath_standin", "engine", "--seed", str(self._seed * 1000 + position)]
        arguments += ["--service-name", service, "--model", service_spec["model"]["name"]]
        arguments += [
            "--version",
            service_spec["model"]["version"],
            "--weights-url",
            self.url("platform"),
        ]
        for adapter in service_spec["model"].get("adapters", []):
            arguments += ["--adapter", adapter]
        checks_fencing = service_spec.get("fleet", {}).get("checks_fencing", True)
        arguments.append("--checks-fencing" if checks_fencing else "--no-checks-fencing")
        name = f"{service}-{number}"
        process = await self._launch(name, arguments + self._engine_options)
        machine_class = (service_spec.get("fleet", {}).get("machine_classes") or ["gpu"])[0]
        self._add_instance(name, service, position, process.addresses["listening"], machine_class)

    async def _start_spare(self, service: str, number: int, position: int) -> None:
        service_spec = self.deployment.configuration()["services"][service]
        checks_fencing = service_spec.get("fleet", {}).get("checks_fencing", True)
        arguments = ["godwitpath_standin", "engine", "--service-name", "", "--model", ""]
        arguments += ["--version", "", "--weights-url", self.url("platform")]
        arguments += ["--seed", str(self._seed * 1000 + 500 + position)]
        arguments.append("--checks-fencing" if checks_fencing else "--no-checks-fencing")
        name = f"spare-{service}-{number}"
        process = await self._launch(name, arguments + self._engine_options)
        machine_class = (service_spec.get("fleet", {}).get("machine_classes") or ["gpu"])[0]
        host, _, port = process.addresses["listening"].rpartition(":")
        region, zone = self._region_and_zone(position)
        self._spares.append(Spare(name, region, zone, machine_class, Address(host, int(port))))

    async def _start_entries(self) -> None:
        numbers = range(1, self._entry_count + 1)
        key_pairs = [generate_key_pair() for _ in numbers]
        self._ports = ReservedPorts(self._entry_count)
        ports = self._ports.ports
        seeds = [
            {
                "entry_id": f"entry-{number}",
                "host": "127.0.0.1",
                "port": port,
                "public_key": pair.public_key,
            }
            for number, port, pair in zip(numbers, ports, key_pairs, strict=True)
        ]
        accepted_keys = [pair.public_key for pair in key_pairs]
        entry_starts = []
        for number, port, pair in zip(numbers, ports, key_pairs, strict=True):
            region, zone = self._region_and_zone(number - 1)
            platform_url = self.url("platform")
            settings = {
                "entry_id": f"entry-{number}",
                "region": region,
                "availability_zone": zone,
                "caller": {"port": 0},
                "operator": {"port": 0, "key": self.operator_key},
                "peer": {
                    "port": port,
                    "public_key": pair.public_key,
                    "secret_key": pair.secret_key,
                    "accepted_public_keys": accepted_keys,
                },
                "platform": {
                    "key_value_url": self.url("kv"),
                    "cloud_url": platform_url,
                    "instance_list_url": platform_url,
                    "weight_store_url": platform_url,
                },
                "seeds": [seed for seed in seeds if seed["entry_id"] != f"entry-{number}"],
                "seed": self._seed * 100 + number,
            }
            path = self.log_folder / f"entry-{number}.json"
            path.write_text(json.dumps(settings), encoding="utf-8")
            entry_starts.append(self._start_entry(number, path))
        await asyncio.gather(*entry_starts)

    async def _start_entry(self, number: int, settings_path: Path) -> None:
        name = f"entry-{number}"
        program = ["godwitpath", "serve"]
        if self._disabled_mechanism:
            program = ["godwitpath_standin", "serve-without", self._disabled_mechanism]
        arguments = [*program, "--settings", str(settings_path)]
        process = await self._launch(name, arguments)
        self._add_instance(name, "entry", number - 1, process.addresses["caller"], "small")

    async def _wait_entry(self, number: int) -> None:
        url = f"{self.operator_url(number)}/admin/ready"
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < deadline_s:
            try:
                response, _ = await self._client.call(
                    "GET",
                    url,
                    self._key_header(),
                    timeout_s=CALL_TIMEOUT_S,
                    max_bytes=MAX_RESPONSE_BYTES,
                )
                if response.status == 200:
                    return
            except (NotSent, AnswerLost):
                pass
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        raise FleetNotReady(f"entry-{number} is not ready")

    async def _register(
        self, offers: list[Offer], versions: list[WeightVersion], spares: list[Spare]
    ) -> None:
        state = PlatformState(list(self._instances.values()), spares, offers, versions)
        body = msgspec.json.encode(state)
        await self._request("POST", f"{self.url('platform')}/instances", body)

    def _region_and_zone(self, index: int) -> tuple[str, str]:
        regions = self.deployment.regions
        region = regions[index % len(regions)]
        return region, f"{region}-{index // len(regions) % 2 + 1}"

    def _add_instance(
        self, name: str, purpose: str, position: int, listening: str, machine_class: str
    ) -> None:
        region, zone = self._region_and_zone(position)
        host, _, port = listening.rpartition(":")
        self._instances[name] = Instance(
            instance_id=name,
            purpose=purpose,
            region=region,
            availability_zone=zone,
            state="live",
            machine_class=machine_class,
            reclaimable=machine_class != "plain",
            price_per_h=ENGINE_PRICE_PER_H,
            address=Address(host, int(port)),
        )

    def _offers(self) -> list[Offer]:
        locations = [
            self._region_and_zone(index) for index in range(2 * len(self.deployment.regions))
        ]
        machine_classes = {
            item.machine_class for item in self._instances.values() if item.machine_class != "plain"
        }
        return [
            Offer(
                region,
                zone,
                machine_class,
                reclaimable,
                ENGINE_PRICE_PER_H * (1 if reclaimable else 3),
            )
            for region, zone in locations
            for machine_class in sorted(machine_classes)
            for reclaimable in (True, False)
        ]

    def _versions(self) -> list[WeightVersion]:
        services = self.deployment.configuration()["services"].values()
        models = [service["model"] for service in services if service.get("model")]
        return [
            WeightVersion(model["name"], model["version"], WEIGHTS_BYTES, model.get("adapters", []))
            for model in models
        ]

    def _key_header(self) -> list[tuple[str, str]]:
        return [("authorization", f"Bearer {self.operator_key}")]

    async def _request(
        self, method: str, url: str, body: bytes = b"", headers: list[tuple[str, str]] | None = None
    ) -> Any:
        _, content = await self._client.call(
            method,
            url,
            headers or [],
            body,
            timeout_s=CALL_TIMEOUT_S,
            max_bytes=MAX_RESPONSE_BYTES,
        )
        return msgspec.json.decode(content)
