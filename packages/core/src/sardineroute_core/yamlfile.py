"""Reads YAML files that must be a mapping without duplicate keys."""

import pathlib
from collections.abc import Hashable
from typing import Any

import yaml


class InvalidFile(Exception):
    """Raised for a file that is not a readable YAML mapping."""


class _StrictLoader(yaml.SafeLoader):
    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        keys: set[Any] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in keys:
                line = key_node.start_mark.line + 1
                raise InvalidFile(
                    f"{key}: found twice, again in line {line}; "
                    "a key must be unique"
                )
            keys.add(key)
        return super().construct_mapping(node, deep)


def read(path: pathlib.Path) -> dict[str, Any]:
    """Returns the mapping in a YAML file.

    Raises:
        InvalidFile: The file can't be read, is not YAML, is not a mapping or
            has a duplicate key.
    """
    try:
        text = path.read_text(encoding="utf-8")
        # _StrictLoader is a SafeLoader.
        document = yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFile(f"can't be read: {error}") from error
    except yaml.YAMLError as error:
        raise InvalidFile(f"is not YAML: {_one_line(error)}") from error
    if not isinstance(document, dict):
        found = type(document).__name__
        raise InvalidFile(f"found {found}; expected a mapping")
    return document


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
