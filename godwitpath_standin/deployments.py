"""The example deployments that a fleet can run."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from godwitpath_standin.process import ROOT


@dataclass(slots=True, frozen=True)
class Deployment:
    """Regions, engines and services of an example deployment.

    :ivar name: name of the folder below `examples`
    :ivar regions: names of the regions; each has the zones `REGION-1` and `REGION-2`
    :ivar engines: number of engines by generation service
    :ivar plain_service: name of the plain service
    :ivar non_idempotent_path: path of the plain service that takes non-idempotent calls
    """

    name: str
    regions: tuple[str, ...]
    engines: dict[str, int]
    plain_service: str
    non_idempotent_path: str

    def configuration_text(self) -> str:
        """Return the configuration file of the deployment as text."""
        return (ROOT / "examples" / self.name / "configuration.json").read_text(encoding="utf-8")

    def configuration(self) -> dict[str, Any]:
        """Return the decoded configuration file of the deployment."""
        decoded: dict[str, Any] = json.loads(self.configuration_text())
        return decoded

    def api_keys(self, service: str = "") -> dict[str, str]:
        """Return the API keys by account.

        :param service: service that the accounts may call; empty for all accounts
        """
        accounts = self.configuration()["accounts"]
        return {
            name: f"demo-{name}"
            for name, account in accounts.items()
            if not service or not account.get("services") or service in account["services"]
        }

    def model(self, service: str) -> str:
        """Return the name of the model that a service runs."""
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
