"""Correction of the stored configuration after the store was restored from an old backup."""

from __future__ import annotations

import msgspec

from godwitpath.config.envelope import ConfigEnvelope


def corrected_envelope(in_force: ConfigEnvelope, stored: ConfigEnvelope) -> ConfigEnvelope | None:
    """Return the envelope that must replace the stored one, None if the stored one is correct.

    A stored revision below the revision in force means that the store was restored from an old
    backup. If the stored configuration was submitted earlier, the configuration in force is
    written again. If it was submitted later, an operator submitted it on top of the backup and
    the submission was confirmed, so it is written as the next revision.
    """
    if stored.revision >= in_force.revision:
        return None
    if stored.submitted_at <= in_force.submitted_at:
        return in_force
    return msgspec.structs.replace(stored, revision=in_force.revision + 1)
