"""Stand-ins of the users' platform: its store, cloud API and engines, with scripted faults."""
