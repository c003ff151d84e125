"""Finds the route and the service of a request."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from godwitpath.gateway.model import Route


class RouteTable:
    """Looks up the route of a request by host and longest matching path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: bytes, path: str) -> Route | None:
        """Return the route of a request, None if no route matches.

        :param host: value of the `Host` field, with or without a port
        :param path: path of the request target
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
    """Choose one of a route's services in proportion to their weights, by hashing the request id.

    Every daemon chooses the same service for a request.
    """
    if len(route.weighted_services) == 1:
        return route.weighted_services[0][0]
    total_weight = sum(weight for _, weight in route.weighted_services)
    if total_weight <= 0:
        return route.weighted_services[0][0]
    point = xxhash.xxh3_64_intdigest(request_id, seed=total_weight) % total_weight
    for service, weight in route.weighted_services:
        point -= weight
        if point < 0:
            return service
    raise AssertionError("the point is below the sum of the weights")


def _host_name(host: bytes) -> str:
    name = host.decode("latin-1").strip().lower()
    head, colon, port = name.rpartition(":")
    return head if colon and port.isdigit() else name
