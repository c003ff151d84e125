"""JSON Schemas of the configuration and of the settings of a process, for use in editors."""

from __future__ import annotations

import json
from typing import Any

from pydantic import TypeAdapter

from godwitpath.config.document import SCHEMA_FIELD
from godwitpath.config.model import Configuration
from godwitpath.settings import ProcessSettings

_DIALECT = "https://json-schema.org/draft/2020-12/schema"


def configuration_schema() -> dict[str, Any]:
    """Return the JSON Schema of a configuration."""
    return _schema(Configuration, "Configuration of godwitpath")


def settings_schema() -> dict[str, Any]:
    """Return the JSON Schema of the settings of one process."""
    return _schema(ProcessSettings, "Settings of a godwitpath process")


def schema_text(schema: dict[str, Any]) -> str:
    """Return the text of a schema file."""
    return json.dumps(schema, indent=2) + "\n"


def _schema(cls: type[Any], title: str) -> dict[str, Any]:
    schema = TypeAdapter(cls).json_schema()
    for class_schema in (schema, *schema.get("$defs", {}).values()):
        _describe_fields(class_schema)
    schema["properties"] = {SCHEMA_FIELD: {"type": "string"}, **schema["properties"]}
    return {SCHEMA_FIELD: _DIALECT, **schema, "title": title}


def _describe_fields(schema: dict[str, Any]) -> None:
    """Move the `:ivar` texts of a class description to the descriptions of its fields."""
    summary, *fields = schema.get("description", "").split(":ivar ")
    schema["description"] = summary.strip()
    for field in fields:
        name, _, text = field.partition(":")
        if name in schema["properties"]:
            schema["properties"][name]["description"] = " ".join(text.split())
