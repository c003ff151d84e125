"""The transport between entries and the framing of its messages."""
