"""Reserved ports: never shared between two fleets while both run."""

from __future__ import annotations

import socket

from godwitpath_standin.ports import ReservedPorts


def test_two_reservations_never_share_a_port() -> None:
    reservations = [ReservedPorts(200) for _ in range(10)]
    ports = [port for reserved in reservations for port in reserved.ports]
    assert len(ports) == len(set(ports)) == 2000
    for reserved in reservations:
        reserved.release()


def test_a_port_that_listens_already_is_not_taken() -> None:
    first = ReservedPorts(1)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", first.ports[0]))
        listener.listen()
        first.release()
        assert first.ports[0] not in ReservedPorts(500).ports
