"""In-process fakes of the ports with switchable faults, for tests and experiments."""
