"""Tests that the operators' pages agree with the code."""

import pathlib
import re
import types
import typing
from collections.abc import Iterator
from typing import Any

import pydantic
import pytest
import urllib3

import conftest
from sardineroute_core import errors
from sardineroute_core import settings
from sardineroute_standins import fleet as fleet_module

PAGES = pathlib.Path(__file__).parents[1] / "docs" / "operators"


def _rows(page: str, columns: int) -> Iterator[list[str]]:
    """Yields the cells of table rows whose first cell is formatted as code."""
    for line in (PAGES / page).read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| `") and len(cells) == columns:
            yield [cell.replace("`", "") for cell in cells]


def test_errors_page_lists_the_report_of_each_error_kind() -> None:
    documented = {
        row[0]: (int(row[1]), int(row[2]), row[3] == "yes")
        for row in _rows("errors.md", 5)
    }
    assert documented == {
        kind.value: (report.status, report.exit_code, report.retryable)
        for kind, report in errors.REPORTS_BY_KIND.items()
    }
    assert set(errors.REPORTS_BY_KIND) == set(errors.Kind)


@pytest.fixture(scope="module")
def docs_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[fleet_module.Fleet]:
    """A fleet of one entry and one backend server."""
    yield from conftest.small_fleet(tmp_path_factory.mktemp("docs"))


def _metric_types(url: str) -> Iterator[tuple[str, str]]:
    response = urllib3.request("GET", url, headers={"Connection": "close"})
    assert response.status == 200
    yield from re.findall(
        r"^# TYPE (sardineroute_\S+) (\S+)$", response.data.decode(), re.M
    )


def test_metrics_page_lists_the_metrics_of_both_roles(
    docs_fleet: fleet_module.Fleet,
) -> None:
    exposed: dict[str, tuple[str, set[str]]] = {}
    for name, role in (("entry-1", "entry"), ("sidecar-1", "sidecar")):
        process = docs_fleet.processes_by_name[name]
        url = process.ready_url.replace("/readyz", "/metrics")
        for metric, kind in _metric_types(url):
            exposed.setdefault(metric, (kind, set()))[1].add(role)
    documented = {
        row[0]: (row[1], set(row[2].split(", ")))
        for row in _rows("metrics.md", 5)
    }
    assert documented == exposed


def _keys(
    model: type[pydantic.BaseModel], prefix: str = ""
) -> Iterator[tuple[str, Any]]:
    for name, field in model.model_fields.items():
        key = f"{prefix}{name}"
        section = _section(field.annotation)
        if section is None:
            yield key, field
            continue
        inner = "[]." if typing.get_origin(field.annotation) is list else "."
        yield from _keys(section, key + inner)


def _section(annotation: Any) -> type[pydantic.BaseModel] | None:
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    if typing.get_origin(annotation) in (list, types.UnionType):
        found = [_section(inner) for inner in typing.get_args(annotation)]
        return next((one for one in found if one is not None), None)
    return None


def _default(field: Any) -> str:
    if field.is_required():
        return "required"
    if field.default is None or field.default == []:
        return "none"
    return str(field.default)


@pytest.mark.parametrize(
    ("page", "models"),
    [
        ("settings.md", (settings.Entry, settings.Sidecar)),
        ("hosted-settings.md", (settings.HostedEntry, settings.HostedSidecar)),
    ],
)
def test_settings_page_has_each_key_and_its_default(
    page: str, models: tuple[type[pydantic.BaseModel], ...]
) -> None:
    documented = {row[0]: row[1] for row in _rows(page, 3)}
    expected = {
        key: _default(field) for model in models for key, field in _keys(model)
    }
    assert documented == expected
