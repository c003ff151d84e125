"""Checks of a configuration text: decodes it and reports every finding with its place."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import chain

from godwitpath.config import check_accounts, check_services
from godwitpath.config.decode import decode
from godwitpath.config.document import read_document
from godwitpath.config.model import Configuration
from godwitpath.config.view import CheckedView
from godwitpath.errors import Finding, FindingsError

Check = Callable[[CheckedView], Iterator[Finding]]

CHECKS: tuple[Check, ...] = (*check_services.CHECKS, *check_accounts.CHECKS)
"""Every check of the meaning of a configuration, each a generator of findings."""


def parse_configuration(source: str, text: str) -> Configuration:
    """Decode and check a configuration text.

    :param source: name of the text for findings, such as a file name
    :raises FindingsError: the text is wrong, with every finding in the order of the text
    """
    document = read_document(source, text)
    decoded = decode(document, document.value, Configuration)
    findings = document.findings + decoded.findings
    if decoded.value is not None:
        view = CheckedView(document, decoded.value, decoded.pruned)
        findings += chain.from_iterable(check(view) for check in CHECKS)
    if findings or decoded.value is None:
        raise FindingsError(source, _in_order(findings))
    return decoded.value


def _in_order(findings: list[Finding]) -> list[Finding]:
    return sorted(set(findings), key=lambda item: (item.line, item.column, item.pointer))
