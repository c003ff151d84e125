"""Serving system for language-model applications and companion services."""

from __future__ import annotations

__version__ = "0.1.0"
