"""Rate limits of client accounts, held over all entries."""
