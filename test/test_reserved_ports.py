"""Guards against two fleets, or a fleet and another program, that use the same port.

Parallel test runs then fail because a process cannot bind its port.
"""

from __future__ import annotations

import socket

from godwitpath_standin.ports import ReservedPorts


def test_reservations_never_share_a_port() -> None:
    reservations = [ReservedPorts(200) for _ in range(10)]
    ports = [port for reserved in reservations for port in reserved.ports]
    assert len(ports) == len(set(ports)) == 2000
    for reserved in reservations:
        reserved.release()


def test_port_in_use_is_not_reserved() -> None:
    first = ReservedPorts(1)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", first.ports[0]))
        listener.listen()
        first.release()
        assert first.ports[0] not in ReservedPorts(500).ports
