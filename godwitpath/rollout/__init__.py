"""Rollout: brings engines to the configured models, versions, adapters and roles."""
