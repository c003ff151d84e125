"""Finds the route of a request and the service that takes it."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from godwitpath.gateway.model import Route


class RouteTable:
    """Routes by host; of those whose prefix begins the path, the longest prefix wins."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: bytes, path: str) -> Route | None:
        """Return the route of a request, None when there is none.

        :param host: the `Host` field, with or without a port
        """
        by_prefix = self._by_host.get(_host_name(host))
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: Route, request_id: bytes) -> str:
    """Return the service that takes a request; the same one whichever daemon is asked."""
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    if total <= 0:
        return route.services[0][0]
    point = xxhash.xxh3_64_intdigest(request_id, seed=total) % total
    for service, weight in route.services:
        point -= weight
        if point < 0:
            return service
    raise AssertionError("the point lies below the sum of the weights")


def _host_name(host: bytes) -> str:
    name = host.decode("latin-1").strip().lower()
    head, colon, port = name.rpartition(":")
    return head if colon and port.isdigit() else name
