"""Recovery of work from upstreams that are removed."""
