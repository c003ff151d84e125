"""In-process fakes of the ports, with faults, for tests and experiments."""
