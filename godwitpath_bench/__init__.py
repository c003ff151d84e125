"""Experiments that compare the product's policies with baselines and measure its overhead."""
