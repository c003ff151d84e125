"""Decodes and validates a configuration text, and reports every finding with its position."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import chain

from godwitpath.config import check_accounts, check_services
from godwitpath.config.decode import decode
from godwitpath.config.document import read_document
from godwitpath.config.model import Configuration
from godwitpath.config.view import ConfigurationView
from godwitpath.errors import Finding, FindingsError

Check = Callable[[ConfigurationView], Iterator[Finding]]

CHECKS: tuple[Check, ...] = (*check_services.CHECKS, *check_accounts.CHECKS)
"""Every semantic check of a decoded configuration; each check yields findings."""


def parse_configuration(source: str, text: str) -> Configuration:
    """Decode and check a configuration text.

    :param source: name of the text in findings, such as a file name
    :param text: JSON text
    :raises FindingsError: the text has findings; the error holds all of them in text order
    """
    document = read_document(source, text)
    decoded = decode(document, document.value, Configuration)
    findings = document.findings + decoded.findings
    if decoded.value is not None:
        view = ConfigurationView(document, decoded.value, decoded.pruned)
        findings += chain.from_iterable(check(view) for check in CHECKS)
    if findings or decoded.value is None:
        raise FindingsError(source, _in_text_order(findings))
    return decoded.value


def _in_text_order(findings: list[Finding]) -> list[Finding]:
    """Return the distinct findings, sorted by line and column."""
    return sorted(
        set(findings), key=lambda finding: (finding.line, finding.column, finding.pointer)
    )
