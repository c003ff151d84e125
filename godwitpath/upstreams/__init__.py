"""The known upstreams: their states, planned stops and the dissemination of changes."""
