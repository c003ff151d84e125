"""The two deployments that fleets are started as."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from godwitpath_standin.process import ROOT


@dataclass(slots=True, frozen=True)
class Deployment:
    """What is started.

    :ivar regions: names of the regions; each has the zones `REGION-1` and `REGION-2`
    :ivar engines: number of engines of each generation service
    :ivar non_idempotent_path: path of the plain service whose calls may not be repeated
    """

    name: str
    regions: tuple[str, ...]
    engines: dict[str, int]
    plain_service: str
    non_idempotent_path: str

    def configuration_text(self) -> str:
        """Return the committed configuration."""
        return (ROOT / "examples" / self.name / "configuration.json").read_text(encoding="utf-8")

    def configuration(self) -> dict[str, Any]:
        """Return the committed configuration, decoded."""
        decoded: dict[str, Any] = json.loads(self.configuration_text())
        return decoded

    def api_keys(self, service: str = "") -> dict[str, str]:
        """Return the API key of each account that may call a service, of all when empty."""
        accounts = self.configuration()["accounts"]
        return {
            name: f"demo-{name}"
            for name, account in accounts.items()
            if not service or not account.get("services") or service in account["services"]
        }

    def model(self, service: str) -> str:
        """Return the model that a service runs."""
        name: str = self.configuration()["services"][service]["model"]["name"]
        return name


DEPLOYMENTS = {
    "ramdin": Deployment(
        "ramdin",
        ("mascarene-pl", "cape-db", "gulf-jb"),
        {"planner-lm": 5, "depot-desk": 3},
        "depot-orders",
        "/bookings",
    ),
    "regroupement": Deployment(
        "regroupement",
        ("mtl-a", "qc-a", "sag-a"),
        {"assistant-dossiers": 6, "service-dossiers": 3},
        "depot-programme",
        "/submissions",
    ),
}
