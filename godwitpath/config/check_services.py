"""Checks of the services of a configuration, such as dependencies, ranges and operations."""

from __future__ import annotations

from collections.abc import Iterator

from godwitpath.config.decode import nearest_hint
from godwitpath.config.document import Path
from godwitpath.config.model import Service
from godwitpath.config.view import ConfigurationView
from godwitpath.errors import Finding

DAY_S = 86_400.0
MAX_TIMEOUT_S = DAY_S
MAX_KEEP_OUTCOME_S = 30 * DAY_S
MAX_ENGINES = 100_000
MAX_PRICE_PER_H = 10_000.0
MAX_BODY_BYTES = 256 * 1_048_576
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
KEY_PLACEHOLDER = "{key}"


def _services(view: ConfigurationView) -> Iterator[tuple[str, Path, Service]]:
    for name, service in view.configuration.services.items():
        yield name, ("services", name), service


def check_names(view: ConfigurationView) -> Iterator[Finding]:
    """Yield findings for a text without services, and for names not valid in a URL path."""
    if view.is_decoded(("services",)) and not view.service_names():
        yield view.document.finding(("services",), "no service is defined")
    for name in view.service_names():
        if not name or "/" in name or name != name.strip() or not name.isprintable():
            message = "the name of a service must not be empty or hold slashes or blanks"
            yield view.document.finding(("services", name), message)


def check_dependencies(view: ConfigurationView) -> Iterator[Finding]:
    """Yield a finding for each dependency that is undefined or listed twice."""
    defined_services = view.service_names()
    for name, path, service in _services(view):
        if not view.is_decoded((*path, "depends_on")):
            continue
        seen: set[str] = set()
        for item_path, dependency in view.items((*path, "depends_on"), service.depends_on):
            if dependency not in defined_services:
                hint = nearest_hint(dependency, set(defined_services) - {name})
                yield view.document.finding(item_path, f"unknown service {dependency}", hint)
            elif dependency in seen:
                yield view.document.finding(
                    item_path, f"the dependency {dependency} is listed twice"
                )
            seen.add(dependency)


def check_cycles(view: ConfigurationView) -> Iterator[Finding]:
    """Yield one finding for each dependency cycle, at the dependency that closes the cycle."""
    services = view.configuration.services
    visited: set[str] = set()
    for start in services:
        ancestors: list[str] = []
        pending: list[tuple[str, int]] = [(start, 0)]
        while pending:
            name, index = pending.pop()
            if index == 0:
                if name in visited:
                    continue
                ancestors.append(name)
            dependencies = services[name].depends_on if name in services else []
            if index == len(dependencies):
                visited.add(name)
                ancestors.pop()
                continue
            pending.append((name, index + 1))
            dependency = dependencies[index]
            if dependency in ancestors:
                cycle = " -> ".join([*ancestors[ancestors.index(dependency) :], dependency])
                path = ("services", name, "depends_on", index)
                yield view.document.finding(path, f"cycle of dependencies: {cycle}")
            else:
                pending.append((dependency, 0))


def check_kinds(view: ConfigurationView) -> Iterator[Finding]:
    """Yield a finding for each field that does not apply to the kind of its service."""
    for name, path, service in _services(view):
        if not view.is_decoded((*path, "kind"), (*path, "model")):
            continue
        given_fields = view.document.value["services"][name]
        if service.kind == "generation" and service.model is None:
            hint = 'add "model": {"name": ..., "version": ...}'
            yield view.document.finding(path, "a generation service needs a model", hint)
        inapplicable = ("model", "fleet", "latency") if service.kind == "plain" else ("operations",)
        for field in inapplicable:
            if field in given_fields:
                message = f"{field} does not apply to a {service.kind} service"
                yield view.document.finding((*path, field), message, "remove it")


def check_models(view: ConfigurationView) -> Iterator[Finding]:
    """Yield findings for models without a name or version, and for duplicate adapters."""
    for _, path, service in _services(view):
        if service.model is None or not view.is_decoded((*path, "model")):
            continue
        for field in ("name", "version"):
            if not getattr(service.model, field).strip():
                yield view.document.finding((*path, "model", field), "must not be empty")
        seen: set[str] = set()
        for item_path, adapter in view.items((*path, "model", "adapters"), service.model.adapters):
            if adapter in seen:
                yield view.document.finding(item_path, f"the adapter {adapter} is listed twice")
            seen.add(adapter)


def check_units(view: ConfigurationView) -> Iterator[Finding]:
    """Yield a finding for each number that is out of range."""
    for _, path, service in _services(view):
        latency = (*path, "latency")
        numbers: list[tuple[Path, float, float]] = [
            ((*latency, "first_token_s"), service.latency.first_token_s, MAX_TIMEOUT_S),
            ((*latency, "between_tokens_s"), service.latency.between_tokens_s, MAX_TIMEOUT_S),
            ((*path, "request_timeout_s"), service.request_timeout_s, MAX_TIMEOUT_S),
            ((*path, "stream_idle_timeout_s"), service.stream_idle_timeout_s, MAX_TIMEOUT_S),
            ((*path, "keep_outcome_s"), service.keep_outcome_s, MAX_KEEP_OUTCOME_S),
            ((*path, "max_body_bytes"), service.max_body_bytes, MAX_BODY_BYTES),
            ((*path, "fleet", "maximum"), service.fleet.maximum, MAX_ENGINES),
            (
                (*path, "fleet", "price_limit_per_h"),
                service.fleet.price_limit_per_h,
                MAX_PRICE_PER_H,
            ),
        ]
        for number_path, value, maximum in numbers:
            yield from view.check_range(number_path, value, 0, maximum)
        yield from _check_not_negative(view, (*path, "fleet", "minimum"), service.fleet.minimum)
        yield from _check_not_negative(view, (*path, "retry_ratio"), service.retry_ratio)
        if service.retry_ratio > 1:
            hint = "0.1 allows one retry per ten first attempts"
            yield view.document.finding((*path, "retry_ratio"), "must be at most 1", hint)


def check_targets(view: ConfigurationView) -> Iterator[Finding]:
    """Yield a finding for each lower limit or timeout that exceeds its upper limit."""
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
        for lower_path, lower, upper_path, upper in pairs:
            # A default value above the upper limit is no error of the text, which does not set it.
            if (
                view.is_explicit(lower_path)
                and view.is_decoded(lower_path, upper_path)
                and lower > upper > 0
            ):
                message = f"{lower_path[-1]} ({lower:g}) is above {upper_path[-1]} ({upper:g})"
                yield view.document.finding(lower_path, message, f"at most {upper:g}")


def check_operations(view: ConfigurationView) -> Iterator[Finding]:
    """Yield findings for invalid methods and paths, and for duplicate operations."""
    for _, path, service in _services(view):
        if not view.is_decoded((*path, "operations")):
            continue
        seen: set[tuple[str, str]] = set()
        for item_path, operation in view.items((*path, "operations"), service.operations):
            if operation.method not in METHODS:
                hint = nearest_hint(operation.method.upper(), METHODS)
                message = f"unknown method {operation.method}"
                yield view.document.finding((*item_path, "method"), message, hint)
            if not operation.path.startswith("/"):
                hint = f"/{operation.path}"
                yield view.document.finding((*item_path, "path"), "must start with a slash", hint)
            if (operation.method, operation.path) in seen:
                message = f"{operation.method} {operation.path} is listed twice"
                yield view.document.finding(item_path, message)
            seen.add((operation.method, operation.path))
            yield from _check_status_path(view, (*item_path, "status_path"), operation.status_path)


def _check_status_path(view: ConfigurationView, path: Path, status_path: str) -> Iterator[Finding]:
    if not status_path:
        return
    if not status_path.startswith("/"):
        yield view.document.finding(path, "must start with a slash", f"/{status_path}")
    if KEY_PLACEHOLDER not in status_path:
        message = f"must hold {KEY_PLACEHOLDER}, which stands for the idempotency key"
        yield view.document.finding(path, message, f"{status_path.rstrip('/')}/{KEY_PLACEHOLDER}")


def _check_not_negative(view: ConfigurationView, path: Path, value: float) -> Iterator[Finding]:
    if view.is_decoded(path) and not value >= 0:
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
