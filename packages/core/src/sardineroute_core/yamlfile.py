"""Reads YAML files strictly: one mapping, no key twice."""

import pathlib
from collections.abc import Hashable
from typing import Any

import yaml


class UnusableFile(Exception):
    """Raised for a file that can't be read as one mapping."""


class _StrictLoader(yaml.SafeLoader):
    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        seen: set[Any] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                line = key_node.start_mark.line + 1
                raise UnusableFile(
                    f"{key}: found twice, again in line {line}; once is allowed"
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def read(path: pathlib.Path) -> dict[str, Any]:
    """Returns the mapping that a file holds.

    Raises:
        UnusableFile: It can't be read, is not YAML, holds a key twice or is
            no mapping.
    """
    try:
        text = path.read_text(encoding="utf-8")
        # The loader is a safe one.
        document = yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except (OSError, UnicodeDecodeError) as error:
        raise UnusableFile(f"can't be read: {error}") from error
    except yaml.YAMLError as error:
        raise UnusableFile(f"is not YAML: {_one_line(error)}") from error
    if not isinstance(document, dict):
        found = type(document).__name__
        raise UnusableFile(f"found {found}; a mapping is allowed")
    return document


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
