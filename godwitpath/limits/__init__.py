"""Rate limits of client accounts, enforced across all entries."""
