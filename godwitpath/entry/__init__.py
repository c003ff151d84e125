"""The entry daemon: wiring, caller and operator APIs, and dispatch of requests."""
