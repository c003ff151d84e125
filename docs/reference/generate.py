"""Generates the reference pages of the settings and the configuration from their JSON schemas.

Run it after changing the schema classes: PYTHONPATH=. .venv/bin/python docs/reference/generate.py
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from godwitpath.config.schema import configuration_schema, settings_schema

EMPTY_DEFAULT_BY_TYPE = {"array": "`[]`", "object": "`{}`"}
REFERENCE_DIR = Path(__file__).parent

PAGE_HEADERS = {
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


def render_page(name: str, schema: dict[str, Any]) -> str:
    """Return a page as Markdown: the top-level class first, then the classes that it references.

    :param name: file name of the page
    :param schema: JSON schema of the top-level class
    """
    sections = [
        PAGE_HEADERS[name],
        *_section_lines("The whole text", {**schema, "description": ""}),
    ]
    for title, definition in sorted(schema.get("$defs", {}).items()):
        sections += _section_lines(title, definition)
    return "\n".join(sections)


def _section_lines(title: str, schema: dict[str, Any]) -> Iterator[str]:
    yield f"## {title}\n"
    if schema.get("description"):
        yield f"{schema['description']}\n"
    yield "| Field | Type | Default | Meaning |\n|---|---|---|---|"
    required = schema.get("required", [])
    for name, field in schema["properties"].items():
        if name == "$schema":
            continue
        default = "required" if name in required else _default_text(field)
        meaning = field.get("description", "").replace("|", "or")
        yield f"| `{name}` | {_type_text(field)} | {default} | {meaning} |"
    yield ""


def _default_text(field: dict[str, Any]) -> str:
    if "default" in field:
        return f"`{json.dumps(field['default'])}`"
    return EMPTY_DEFAULT_BY_TYPE.get(field.get("type", ""), "its fields' own")


def _type_text(field: dict[str, Any]) -> str:
    if "$ref" in field:
        name = field["$ref"].rsplit("/", 1)[1]
        return f"[{name}](#{name.lower()})"
    if "enum" in field:
        return ", ".join(f"`{value}`" for value in field["enum"])
    if "anyOf" in field:
        return " or ".join(map(_type_text, field["anyOf"]))
    if field.get("type") == "array":
        return f"list of {_type_text(field['items'])}"
    if field.get("type") == "object" and isinstance(field.get("additionalProperties"), dict):
        return f"by name, {_type_text(field['additionalProperties'])}"
    return str(field.get("type", "any"))


def render_pages() -> dict[str, str]:
    """Return the Markdown text of each generated page by file name."""
    schemas = {"configuration.md": configuration_schema(), "settings.md": settings_schema()}
    return {name: render_page(name, schema) for name, schema in schemas.items()}


if __name__ == "__main__":
    for name, text in render_pages().items():
        (REFERENCE_DIR / name).write_text(text, encoding="utf-8")
