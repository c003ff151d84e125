"""Transport of messages between entry daemons, and its frame format."""
