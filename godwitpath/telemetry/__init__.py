"""Telemetry of a process: metrics and log lines."""
