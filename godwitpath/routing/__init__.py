"""Choice of an upstream for a call."""
