"""Stand-ins for the users' platform: store, cloud API and engines with scripted faults."""
