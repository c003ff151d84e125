"""Decision records that tell what was done and why."""
