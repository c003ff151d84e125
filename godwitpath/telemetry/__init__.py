"""What a process tells of itself while it runs: metrics and log lines."""
