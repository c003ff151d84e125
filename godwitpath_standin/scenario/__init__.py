"""Scenario language: steps of operators and expectations, one per line, run on real processes."""
