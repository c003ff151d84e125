"""Decision records: which decisions were made about a request or configuration, and why."""
