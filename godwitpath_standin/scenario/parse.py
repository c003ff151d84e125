"""Parses scenario files into typed steps and reports every invalid line with its position."""

from __future__ import annotations

import json
from importlib.resources import files
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, Tree, UnexpectedInput, v_args

from godwitpath.errors import Finding, FindingsError
from godwitpath_standin.scenario import steps

_UNITS_S = {"s": 1.0, "ms": 0.001}


def parse_scenario(path: Path) -> list[steps.Step]:
    """Return the steps of a scenario file.

    :raises FindingsError: the file has invalid lines; the error lists all of them
    """
    text = path.read_text(encoding="utf-8")
    parser = _parser()
    parsed_steps: list[steps.Step] = []
    findings: list[Finding] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        try:
            tree = parser.parse(line.strip() + "\n")
        except UnexpectedInput as error:
            findings.append(Finding("", f"not a step: {line.strip()}", "", number, error.column))
            continue
        parsed_steps.extend(_StepBuilder(number, line.strip()).transform(tree))
    if findings:
        raise FindingsError(str(path), findings)
    return parsed_steps


def _parser() -> Lark:
    grammar = files("godwitpath_standin.scenario").joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="earley", lexer="dynamic")


def _value(token: Any) -> object:
    try:
        return json.loads(str(token))
    except ValueError:
        return str(token)


@v_args(inline=True)
class _StepBuilder(Transformer[Token, list[steps.Step]]):
    """Builds the step of one line from its syntax tree."""

    def __init__(self, line: int, text: str) -> None:
        super().__init__()
        self._source = (line, text)

    def start(self, *parsed_steps: steps.Step) -> list[steps.Step]:
        return list(parsed_steps)

    def duration(self, number: Token, unit: Token) -> float:
        return float(number) * _UNITS_S[str(unit)]

    def entries(self, *numbers: Token) -> list[int]:
        return [int(number) for number in numbers]

    def entry(self, number: Token) -> steps.Target:
        return steps.Target("entry", "", int(number))

    def engine(self, service: Token, number: Token) -> steps.Target:
        return steps.Target("engine", str(service), int(number))

    def service(self, name: Token, number: Token) -> steps.Target:
        return steps.Target("service", str(name), int(number))

    def store(self) -> steps.Target:
        return steps.Target("store")

    def platform(self) -> steps.Target:
        return steps.Target("platform")

    def start_fleet(self, name: Token, entries: Token) -> steps.Step:
        return steps.StartFleet(*self._source, str(name), int(entries))

    def wait(self, duration_s: float) -> steps.Step:
        return steps.Wait(*self._source, duration_s)

    def load_generations(self, name: Token, count: Token, duration_s: float) -> steps.Step:
        return steps.Load(*self._source, str(name), True, int(count), duration_s)

    def load_unkeyed(self, name: Token, count: Token, duration_s: float) -> steps.Step:
        return steps.Load(*self._source, str(name), True, int(count), duration_s, keyed=False)

    def load_calls(self, name: Token, count: Token, duration_s: float) -> steps.Step:
        return steps.Load(*self._source, str(name), False, int(count), duration_s)

    def call(
        self, name: Token, method: Token, path: Token, key: Token, entries: list[int]
    ) -> steps.Step:
        return steps.Call(*self._source, str(name), str(method), str(path), str(key), entries)

    def ask_again(self, name: Token, entries: list[int]) -> steps.Step:
        return steps.RepeatCall(*self._source, str(name), entries)

    def fault(self, target: steps.Target, name: Token, value: Token) -> steps.Step:
        return steps.SetFault(*self._source, target, str(name), _value(value))

    def reclaim(self, zone: Token, notice_s: float) -> steps.Step:
        return steps.Reclaim(*self._source, str(zone), notice_s)

    def announce_stop(self, kind: Token, name: Token) -> steps.Step:
        return steps.AnnounceStop(*self._source, str(kind), str(name))

    def submit(self, pointer: Token, value: Token, author: Token) -> steps.Step:
        return steps.Submit(*self._source, str(pointer), _value(value), str(author))

    def race(self, pointer: Token, first: Token, second: Token) -> steps.Step:
        return steps.Race(*self._source, str(pointer), _value(first), _value(second))

    def expect(self, check: Tree[Any], within_s: float | None) -> steps.Step:
        arguments = [_argument(child) for child in check.children]
        return steps.Expect(*self._source, str(check.data), arguments, within_s or 0.0)


def _action_builder(action: str) -> Any:
    def build(self: _StepBuilder, target: steps.Target) -> steps.Step:
        return steps.ProcessAction(*self._source, action, target)

    return v_args(inline=True)(build)


for _action in ("kill", "pause", "wake", "stop", "restart", "silence"):
    setattr(_StepBuilder, _action, _action_builder(_action))


def _argument(child: Any) -> object:
    if isinstance(child, Token):
        return int(child) if child.type == "INT" else str(child)
    return child
