"""Recovery of work whose upstream goes away."""
