"""HTTP/1.1 as the gateway needs it: exact about what was sent, read and left unfinished."""
