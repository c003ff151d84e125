"""Security: API keys of callers, CURVE key pairs of peers, redaction of secrets."""
