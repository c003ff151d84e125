"""Rollout: the written models, versions, adapters and roles become what the engines run."""
