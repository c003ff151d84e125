"""Writes the pages of the settings and of the configuration from their schemas.

Run it after a change of the classes: PYTHONPATH=. .venv/bin/python docs/reference/generate.py
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from godwitpath.config.schema import configuration_schema, settings_schema

EMPTY_DEFAULTS = {"array": "`[]`", "object": "`{}`"}
FOLDER = Path(__file__).parent

HEADS = {
    "configuration.md": (
        "# Configuration\n\n"
        "One JSON text for the whole fleet, submitted with `godwitpath config submit`. Fields that"
        " are not named\nhere are findings. `$schema` may name"
        " [the schema](../../godwitpath/config/schema.json) to an editor.\n"
    ),
    "settings.md": (
        "# Settings\n\n"
        "One JSON file for each process, given with `godwitpath serve --settings FILE`, over the\n"
        "committed [defaults](../../godwitpath/defaults.json), which go before those below."
        "\n`$schema` may name [the schema](../../godwitpath/settings.schema.json) to an editor.\n"
    ),
}


def page(name: str, schema: dict[str, Any]) -> str:
    """Return a page: the top class first, then each class that it uses."""
    sections = [HEADS[name], *_section("The whole text", {**schema, "description": ""})]
    for title, part in sorted(schema.get("$defs", {}).items()):
        sections += _section(title, part)
    return "\n".join(sections)


def _section(title: str, schema: dict[str, Any]) -> Iterator[str]:
    yield f"## {title}\n"
    if schema.get("description"):
        yield f"{schema['description']}\n"
    yield "| Field | Type | Default | Meaning |\n|---|---|---|---|"
    required = schema.get("required", [])
    for name, field in schema["properties"].items():
        if name == "$schema":
            continue
        default = "required" if name in required else _default(field)
        meaning = field.get("description", "").replace("|", "or")
        yield f"| `{name}` | {_type(field)} | {default} | {meaning} |"
    yield ""


def _default(field: dict[str, Any]) -> str:
    if "default" in field:
        return f"`{json.dumps(field['default'])}`"
    return EMPTY_DEFAULTS.get(field.get("type", ""), "its fields' own")


def _type(field: dict[str, Any]) -> str:
    if "$ref" in field:
        name = field["$ref"].rsplit("/", 1)[1]
        return f"[{name}](#{name.lower()})"
    if "enum" in field:
        return ", ".join(f"`{value}`" for value in field["enum"])
    if "anyOf" in field:
        return " or ".join(map(_type, field["anyOf"]))
    if field.get("type") == "array":
        return f"list of {_type(field['items'])}"
    if field.get("type") == "object" and isinstance(field.get("additionalProperties"), dict):
        return f"by name, {_type(field['additionalProperties'])}"
    return str(field.get("type", "any"))


def pages() -> dict[str, str]:
    """Return every generated page by its file name."""
    schemas = {"configuration.md": configuration_schema(), "settings.md": settings_schema()}
    return {name: page(name, schema) for name, schema in schemas.items()}


if __name__ == "__main__":
    for name, text in pages().items():
        (FOLDER / name).write_text(text, encoding="utf-8")
