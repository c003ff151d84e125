"""How old what a daemon holds is."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StateAges:
    """Time since what a daemon holds was last known to be the newest, in seconds.

    :ivar configuration_s: age of the configuration, infinite before the first one
    :ivar engines_s: age of the engines' entries, infinite before the first ones
    """

    configuration_s: float
    engines_s: float

    @property
    def oldest_s(self) -> float:
        """The greater of the two ages."""
        return max(self.configuration_s, self.engines_s)
