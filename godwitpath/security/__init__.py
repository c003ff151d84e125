"""Keys: callers' API keys and the peers' CURVE pairs."""
