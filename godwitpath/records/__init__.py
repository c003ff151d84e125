"""Request records and their backup copies."""
