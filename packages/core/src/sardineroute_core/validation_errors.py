"""Formats the validation errors of a settings file for operators."""

import typing
from collections.abc import Iterator
from typing import Any

import pydantic
import pydantic_core

_SECRET_KEYS = frozenset({"secret"})


def format_errors(
    model: type[pydantic.BaseModel], error: pydantic.ValidationError
) -> Iterator[str]:
    """Yields a line per error: key, value found and values allowed."""
    for item in error.errors():
        key = ".".join(str(part) for part in item["loc"]) or "file"
        yield f"{key}: {_describe(model, item)}"


def _describe(
    model: type[pydantic.BaseModel], item: pydantic_core.ErrorDetails
) -> str:
    if item["type"] == "missing":
        return "found nothing; a value is required"
    if item["type"] == "extra_forbidden":
        allowed = ", ".join(_allowed_keys(model, item["loc"][:-1]))
        return f"found an unknown key; allowed: {allowed}"
    if item["type"] == "value_error":
        # The text of a check in `settings` already names what was found.
        return str(item["ctx"]["error"])
    return f"found {_format_input(item)}; {_format_constraint(item['msg'])}"


def _format_input(item: pydantic_core.ErrorDetails) -> str:
    if item["loc"] and item["loc"][-1] in _SECRET_KEYS:
        return "a value that is not shown"
    if isinstance(item["input"], dict | list):
        return "a " + type(item["input"]).__name__
    return repr(item["input"])


def _format_constraint(message: str) -> str:
    return "allowed: " + message.replace("Input should be ", "")


def _allowed_keys(
    model: type[pydantic.BaseModel], loc: tuple[int | str, ...]
) -> list[str]:
    section: Any = model
    for part in loc:
        if isinstance(part, str):
            section = _section_model(section.model_fields[part].annotation)
    return sorted(section.model_fields)


def _section_model(annotation: Any) -> Any:
    """Returns the section model in an annotation, or None without one.

    The annotation may be an optional section or a list of sections.
    """
    for inner in typing.get_args(annotation):
        section = _section_model(inner)
        if section is not None:
            return section
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    return None
