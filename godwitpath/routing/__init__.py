"""Choice of the upstream that runs a call."""
