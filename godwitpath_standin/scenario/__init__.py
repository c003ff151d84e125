"""The scenario language: operators' steps and expectations, one a line, run on real processes."""
