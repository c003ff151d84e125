"""The operators' configuration: data model, validation, storage and diffs."""
