"""Rate limits of accounts over all entries."""
