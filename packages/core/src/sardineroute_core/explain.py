"""Turns validation errors of a settings file into lines for operators."""

import typing
from collections.abc import Iterator
from typing import Any

import pydantic
import pydantic_core

_SECRET_KEYS = frozenset({"secret"})


def lines(
    model: type[pydantic.BaseModel], error: pydantic.ValidationError
) -> Iterator[str]:
    """Yields a line for each error: key, what was found, what is allowed."""
    for item in error.errors():
        key = ".".join(str(part) for part in item["loc"]) or "file"
        yield f"{key}: {_explain(model, item)}"


def _explain(
    model: type[pydantic.BaseModel], item: pydantic_core.ErrorDetails
) -> str:
    if item["type"] == "missing":
        return "found nothing; a value is required"
    if item["type"] == "extra_forbidden":
        allowed = ", ".join(_keys_at(model, item["loc"][:-1]))
        return f"found an unknown key; allowed: {allowed}"
    if item["type"] == "value_error":
        # Our own checks say themselves what they found.
        return str(item["ctx"]["error"])
    return f"found {_shown(item)}; {_allowed(item['msg'])}"


def _shown(item: pydantic_core.ErrorDetails) -> str:
    if item["loc"] and item["loc"][-1] in _SECRET_KEYS:
        return "a value that is not shown"
    if isinstance(item["input"], dict | list):
        return "a " + type(item["input"]).__name__
    return repr(item["input"])


def _allowed(message: str) -> str:
    return "allowed: " + message.replace("Input should be ", "")


def _keys_at(
    model: type[pydantic.BaseModel], loc: tuple[int | str, ...]
) -> list[str]:
    found: Any = model
    for part in loc:
        if isinstance(part, str):
            found = _section(found.model_fields[part].annotation)
    return sorted(found.model_fields)


def _section(annotation: Any) -> Any:
    """Returns the section inside an optional or a list of sections."""
    for inner in typing.get_args(annotation):
        section = _section(inner)
        if section is not None:
            return section
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    return None
