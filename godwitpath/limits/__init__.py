"""Rate limits of client accounts, enforced across all entries (the gateway processes)."""
