"""What the decisions see of the outside: abstract interfaces and their typed data."""
