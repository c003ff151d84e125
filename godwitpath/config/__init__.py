"""The operators' configuration: model, checks, storage and differences."""
