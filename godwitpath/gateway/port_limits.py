"""Limits on requests to the ports that are not for callers: readiness, metrics and pulls."""

from __future__ import annotations

from godwitpath.http1.limits import CallerLimits

SERVICE_PORT_LIMITS = CallerLimits(max_header_bytes=16_384, max_body_bytes=4_096)
"""Probes and scrapes have no body, and a pull has one of some 50 bytes, which is received before
its signature is checked."""
