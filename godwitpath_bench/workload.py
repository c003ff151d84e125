"""Generates the calls of the two deployments, at the present size and at multiples of it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from godwitpath.routing.prefix import BLOCK_TOKENS

REGIONS = {
    "ramdin": ("mascarene-pl", "cape-db", "gulf-jb"),
    "regroupement": ("mtl-a", "qc-a", "sag-a"),
}
"""Regions of each deployment."""

REGION_WEIGHTS = (3, 2, 1)
"""Relative number of calls from each region."""

ACCOUNT_WEIGHTS = (8, 5, 2, 1, 1)
"""Relative number of calls of each account; a few accounts dominate."""


@dataclass(slots=True)
class Call:
    """A request for a generation.

    :ivar at_s: arrival time, from the start of the run
    :ivar kind: type of request, such as `plan` or `question`
    :ivar blocks: digests of the prompt's leading blocks
    :ivar deadline_s: time limit from the arrival
    """

    at_s: float
    number: int
    region: str
    account: str
    kind: str
    priority: int
    blocks: list[str]
    prompt_tokens: int
    output_tokens: int
    deadline_s: float = 60.0


@dataclass(slots=True)
class Workload:
    """Calls of one deployment.

    :ivar scale: multiple of the deployment's present size
    :ivar rate_factor: multiple of the nominal arrival rate
    """

    deployment: str
    seed: int
    duration_s: float = 240.0
    scale: int = 1
    rate_factor: float = 1.0
    _calls: list[Call] = field(default_factory=list)

    def calls(self) -> list[Call]:
        """Return the calls in order of arrival."""
        rng = Random(f"{self.deployment}/{self.seed}/{self.scale}")
        generators = {"ramdin": self._ramdin, "regroupement": self._regroupement}
        self._calls = [
            call for call in generators[self.deployment](rng) if call.at_s < self.duration_s
        ]
        self._calls.sort(key=lambda call: call.at_s)
        for number, call in enumerate(self._calls):
            call.number = number
        return self._calls

    def _regroupement(self, rng: Random) -> Iterator[Call]:
        # Different advisors open a dossier repeatedly and ask a few questions each time.
        dossiers = [
            (f"dossier-{number}", self._region(rng), rng.randint(4_000, 14_000))
            for number in range(48 * self.scale)
        ]
        for at_s in self._arrivals(rng, 0.32):
            name, region, tokens = rng.choice(dossiers)
            account = self._account(rng)
            for question in range(rng.randint(2, 6)):
                asked_at_s = at_s + question * rng.uniform(8.0, 25.0)
                output_tokens = rng.choice((80, 120, 400))
                yield self._call(
                    rng, asked_at_s, region, account, "dossier", 0, name, tokens, output_tokens
                )
        for at_s in self._arrivals(rng, 4.0):
            region = self._region(rng)
            output_tokens = rng.randint(40, 120)
            yield self._call(
                rng, at_s, region, self._account(rng), "question", 0, "template", 512, output_tokens
            )

    def _ramdin(self, rng: Random) -> Iterator[Call]:
        # The prompt of a plan contains the box table of a line, which changes every two minutes.
        tables = [
            (f"table-{number}", self._region(rng), rng.randint(3_000, 9_000))
            for number in range(16 * self.scale)
        ]
        for at_s in self._arrivals(rng, 3.0):
            name, region, tokens = rng.choice(tables)
            version = f"{name}-{int(at_s // 120)}"
            output_tokens = rng.randint(250, 500)
            account = self._account(rng)
            yield self._call(
                rng, at_s, region, account, "plan", 1, version, tokens, output_tokens, 60.0
            )
        for at_s in self._arrivals(rng, 0.05):
            region, depot = self._region(rng), rng.randrange(12 * self.scale)
            account = self._account(rng)
            for _ in range(rng.randint(15, 35)):
                sent_at_s = at_s + rng.uniform(0.0, 4.0)
                name = f"depot-{depot}"
                yield self._call(
                    rng, sent_at_s, region, account, "survey", 2, name, 2_048, 150, 120.0
                )
        for at_s in self._arrivals(rng, 4.0):
            region = self._region(rng)
            output_tokens = rng.randint(40, 100)
            yield self._call(
                rng, at_s, region, self._account(rng), "question", 0, "template", 512, output_tokens
            )

    def _arrivals(self, rng: Random, base_rate_per_s: float) -> Iterator[float]:
        rate_per_s = base_rate_per_s * self.scale * self.rate_factor
        at_s = rng.expovariate(rate_per_s)
        while at_s < self.duration_s:
            yield at_s
            at_s += rng.expovariate(rate_per_s)

    def _region(self, rng: Random) -> str:
        return rng.choices(REGIONS[self.deployment], REGION_WEIGHTS)[0]

    def _account(self, rng: Random) -> str:
        number = rng.choices(range(len(ACCOUNT_WEIGHTS)), ACCOUNT_WEIGHTS)[0]
        return f"account-{number}"

    def _call(
        self,
        rng: Random,
        at_s: float,
        region: str,
        account: str,
        kind: str,
        priority: int,
        prefix: str,
        prefix_tokens: int,
        output_tokens: int,
        deadline_s: float = 30.0,
    ) -> Call:
        # Every prompt starts with the template of the service, which fills one block.
        blocks = ["instructions"]
        blocks += [f"{prefix}/{number}" for number in range(prefix_tokens // BLOCK_TOKENS)]
        prompt_tokens = len(blocks) * BLOCK_TOKENS + rng.randint(40, 240)
        return Call(
            at_s,
            0,
            region,
            account,
            kind,
            priority,
            blocks,
            prompt_tokens,
            output_tokens,
            deadline_s,
        )
