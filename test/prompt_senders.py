"""Daemons that send prompts of many parts, of which their reports are to name few."""

from __future__ import annotations

import asyncio

from godwitpath.gateway.engines import Engine, EngineEntry, EngineState
from godwitpath.gateway.placement import Placer, Prompt
from godwitpath.gateway.wire_fields import PromptPart
from godwitpath.ports.engine import Address
from test.gateway_fleet import Daemon

ENTRY = EngineEntry("i-0123456789ab", "lm", Address("h", 9), "a", EngineState.READY, 64, 1)


def prompts_of(daemons: list[Daemon], prompts: int, parts: int) -> list[tuple[Placer, Prompt]]:
    """Return prompts of their own for each daemon, with its placer."""
    return [
        (
            daemon.ctx.placer,
            Prompt(
                parts,
                1,
                tuple(
                    PromptPart(f"{number:04x}{each:04x}{part:08x}", 800)
                    for part in range(parts + 1)
                ),
            ),
        )
        for number, daemon in enumerate(daemons)
        for each in range(prompts)
    ]


async def keep_sending(daemons: list[Daemon], prompts: int, parts: int, for_s: float) -> None:
    """Send prompts every .3 s, those of one daemon at a time."""
    loop = asyncio.get_running_loop()
    sent, engine = prompts_of(daemons, prompts, parts), Engine(ENTRY)
    until_s = loop.time() + for_s
    while loop.time() < until_s:
        for index in range(0, len(sent), prompts):
            for placer, prompt in sent[index : index + prompts]:
                placer.note_sent(prompt, engine, parts, 1_000_000)
            await asyncio.sleep(0)
        await asyncio.sleep(0.3)
