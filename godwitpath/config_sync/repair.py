"""What a store that was restored from an old copy should hold."""

from __future__ import annotations

import msgspec

from godwitpath.config.envelope import ConfigEnvelope


def repaired(in_force: ConfigEnvelope, stored: ConfigEnvelope) -> ConfigEnvelope | None:
    """Return the configuration to write in place of a stored one, None where nothing is wrong.

    A stored revision below the one in force comes from an old copy. If it was submitted earlier,
    the one in force is written again. If it was submitted later, an operator built on the old
    copy and was told that it was accepted, so it becomes the next revision.
    """
    if stored.revision >= in_force.revision:
        return None
    if stored.submitted_at <= in_force.submitted_at:
        return in_force
    return msgspec.structs.replace(stored, revision=in_force.revision + 1)
