"""Checks of the services of a configuration: dependencies, units, targets and operations."""

from __future__ import annotations

from collections.abc import Iterator

from godwitpath.config.decode import nearest_hint
from godwitpath.config.document import Path
from godwitpath.config.model import Service
from godwitpath.config.view import CheckedView
from godwitpath.errors import Finding

DAY_S = 86_400.0
MAX_TIMEOUT_S = DAY_S
MAX_KEEP_S = 30 * DAY_S
MAX_ENGINES = 100_000
MAX_PRICE_PER_H = 10_000.0
MAX_BODY_BYTES = 256 * 1_048_576
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
KEY_FIELD = "{key}"


def _services(view: CheckedView) -> Iterator[tuple[str, Path, Service]]:
    for name, service in view.configuration.services.items():
        yield name, ("services", name), service


def check_names(view: CheckedView) -> Iterator[Finding]:
    """Yield services whose name cannot stand in a path."""
    if view.sound(("services",)) and not view.service_names():
        yield view.document.finding(("services",), "no service is defined")
    for name in view.service_names():
        if not name or "/" in name or name != name.strip() or not name.isprintable():
            message = "the name of a service must not be empty or hold slashes or blanks"
            yield view.document.finding(("services", name), message)


def check_dependencies(view: CheckedView) -> Iterator[Finding]:
    """Yield dependencies on services that are not defined, or stand twice."""
    known = view.service_names()
    for name, path, service in _services(view):
        if not view.sound((*path, "depends_on")):
            continue
        seen: set[str] = set()
        for place, needed in view.items((*path, "depends_on"), service.depends_on):
            if needed not in known:
                hint = nearest_hint(needed, set(known) - {name})
                yield view.document.finding(place, f"unknown service {needed}", hint)
            elif needed in seen:
                yield view.document.finding(place, f"the dependency {needed} stands twice")
            seen.add(needed)


def check_cycles(view: CheckedView) -> Iterator[Finding]:
    """Yield each cycle of dependencies once, at the dependency that closes it."""
    services = view.configuration.services
    done: set[str] = set()
    for start in services:
        trail: list[str] = []
        pending: list[tuple[str, int]] = [(start, 0)]
        while pending:
            name, index = pending.pop()
            if index == 0:
                if name in done:
                    continue
                trail.append(name)
            needed = services[name].depends_on if name in services else []
            if index == len(needed):
                done.add(name)
                trail.pop()
                continue
            pending.append((name, index + 1))
            target = needed[index]
            if target in trail:
                cycle = " -> ".join([*trail[trail.index(target) :], target])
                path = ("services", name, "depends_on", index)
                yield view.document.finding(path, f"cycle of dependencies: {cycle}")
            else:
                pending.append((target, 0))


def check_kinds(view: CheckedView) -> Iterator[Finding]:
    """Yield fields that do not fit the kind of their service."""
    for name, path, service in _services(view):
        if not view.sound((*path, "kind"), (*path, "model")):
            continue
        written = view.document.value["services"][name]
        if service.kind == "generation" and service.model is None:
            hint = 'add "model": {"name": ..., "version": ...}'
            yield view.document.finding(path, "a generation service needs a model", hint)
        misplaced = ("model", "fleet", "latency") if service.kind == "plain" else ("operations",)
        for field in misplaced:
            if field in written:
                message = f"{field} has no meaning for a {service.kind} service"
                yield view.document.finding((*path, field), message, "remove it")


def check_models(view: CheckedView) -> Iterator[Finding]:
    """Yield models without a name or version, and adapters that stand twice."""
    for _, path, service in _services(view):
        if service.model is None or not view.sound((*path, "model")):
            continue
        for field in ("name", "version"):
            if not getattr(service.model, field).strip():
                yield view.document.finding((*path, "model", field), "must not be empty")
        seen: set[str] = set()
        for place, adapter in view.items((*path, "model", "adapters"), service.model.adapters):
            if adapter in seen:
                yield view.document.finding(place, f"the adapter {adapter} stands twice")
            seen.add(adapter)


def check_units(view: CheckedView) -> Iterator[Finding]:
    """Yield numbers that are zero, negative or absurd for their unit."""
    for _, path, service in _services(view):
        latency = (*path, "latency")
        numbers: list[tuple[Path, float, float]] = [
            ((*latency, "first_token_s"), service.latency.first_token_s, MAX_TIMEOUT_S),
            ((*latency, "between_tokens_s"), service.latency.between_tokens_s, MAX_TIMEOUT_S),
            ((*path, "request_timeout_s"), service.request_timeout_s, MAX_TIMEOUT_S),
            ((*path, "stream_idle_timeout_s"), service.stream_idle_timeout_s, MAX_TIMEOUT_S),
            ((*path, "keep_outcome_s"), service.keep_outcome_s, MAX_KEEP_S),
            ((*path, "max_body_bytes"), service.max_body_bytes, MAX_BODY_BYTES),
            ((*path, "fleet", "maximum"), service.fleet.maximum, MAX_ENGINES),
            (
                (*path, "fleet", "price_limit_per_h"),
                service.fleet.price_limit_per_h,
                MAX_PRICE_PER_H,
            ),
        ]
        for place, value, high in numbers:
            yield from view.between(place, value, 0, high)
        yield from _at_least_zero(view, (*path, "fleet", "minimum"), service.fleet.minimum)
        yield from _at_least_zero(view, (*path, "retry_ratio"), service.retry_ratio)
        if service.retry_ratio > 1:
            hint = "0.1 allows one retry for ten fresh calls"
            yield view.document.finding((*path, "retry_ratio"), "must be at most 1", hint)


def check_targets(view: CheckedView) -> Iterator[Finding]:
    """Yield pairs of values that contradict one another."""
    for _, path, service in _services(view):
        pairs: list[tuple[Path, float, Path, float]] = [
            (
                (*path, "stream_idle_timeout_s"),
                service.stream_idle_timeout_s,
                (*path, "request_timeout_s"),
                service.request_timeout_s,
            ),
            (
                (*path, "latency", "first_token_s"),
                service.latency.first_token_s,
                (*path, "request_timeout_s"),
                service.request_timeout_s,
            ),
            (
                (*path, "latency", "between_tokens_s"),
                service.latency.between_tokens_s,
                (*path, "stream_idle_timeout_s"),
                service.stream_idle_timeout_s,
            ),
            (
                (*path, "fleet", "minimum"),
                service.fleet.minimum,
                (*path, "fleet", "maximum"),
                service.fleet.maximum,
            ),
        ]
        for smaller, low, larger, high in pairs:
            # A default that does not fit is no mistake of the text.
            if view.written(smaller) and view.sound(smaller, larger) and low > high > 0:
                message = f"{smaller[-1]} ({low:g}) is above {larger[-1]} ({high:g})"
                yield view.document.finding(smaller, message, f"at most {high:g}")


def check_operations(view: CheckedView) -> Iterator[Finding]:
    """Yield operations whose method or paths cannot match a call."""
    for _, path, service in _services(view):
        if not view.sound((*path, "operations")):
            continue
        seen: set[tuple[str, str]] = set()
        for place, operation in view.items((*path, "operations"), service.operations):
            if operation.method not in METHODS:
                hint = nearest_hint(operation.method.upper(), METHODS)
                message = f"unknown method {operation.method}"
                yield view.document.finding((*place, "method"), message, hint)
            if not operation.path.startswith("/"):
                hint = f"/{operation.path}"
                yield view.document.finding((*place, "path"), "must start with a slash", hint)
            if (operation.method, operation.path) in seen:
                message = f"{operation.method} {operation.path} stands twice"
                yield view.document.finding(place, message)
            seen.add((operation.method, operation.path))
            yield from _status_path_findings(view, (*place, "status_path"), operation.status_path)


def _status_path_findings(view: CheckedView, path: Path, status_path: str) -> Iterator[Finding]:
    if not status_path:
        return
    if not status_path.startswith("/"):
        yield view.document.finding(path, "must start with a slash", f"/{status_path}")
    if KEY_FIELD not in status_path:
        message = f"must hold {KEY_FIELD}, which stands for the idempotency key"
        yield view.document.finding(path, message, f"{status_path.rstrip('/')}/{KEY_FIELD}")


def _at_least_zero(view: CheckedView, path: Path, value: float) -> Iterator[Finding]:
    if view.sound(path) and not value >= 0:
        yield view.document.finding(path, "must not be negative")


CHECKS = (
    check_names,
    check_dependencies,
    check_cycles,
    check_kinds,
    check_models,
    check_units,
    check_targets,
    check_operations,
)
