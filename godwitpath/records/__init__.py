"""Request records and their replicas."""
