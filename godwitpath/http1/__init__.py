"""HTTP/1.1 client and server connections that detect incomplete messages."""
