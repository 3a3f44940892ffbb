"""Settings files: what is accepted, and how an error reads."""

import pathlib

import pytest

from sardineroute_core import settings

ENTRY = """
role: entry
id: e1
failure_domain: d1
log: {url: "http://127.0.0.1:1"}
streams: {listen: {host: 127.0.0.1, port: 1}, secret: "0123456789abcdef"}
http: {listen: {host: 127.0.0.1, port: 2}}
teams: [{name: anrc, sha256: "%s"}]
""" % ("0" * 64)


@pytest.fixture
def settings_file(tmp_path: pathlib.Path) -> pathlib.Path:
    return tmp_path / "entry.yaml"


def test_valid_settings_load(settings_file: pathlib.Path) -> None:
    settings_file.write_text(ENTRY)
    loaded = settings.load(settings_file)
    assert isinstance(loaded, settings.Entry)
    assert loaded.http.listen.hostname == "127.0.0.1"


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ("colour: red", "colour"),
        ("drain_timeout_ms: -5", "drain_timeout_ms"),
        ("ownership: {partitions: many}", "ownership.partitions"),
    ],
)
def test_error_names_file_key_and_value(
    settings_file: pathlib.Path, change: str, key: str
) -> None:
    settings_file.write_text(ENTRY + change + "\n")
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(settings_file)
    message = str(caught.value)
    assert str(settings_file) in message
    assert key in message
    assert "found" in message


def test_unknown_role_is_refused(settings_file: pathlib.Path) -> None:
    settings_file.write_text("role: queen\n")
    with pytest.raises(settings.SettingsError, match="entry, sidecar"):
        settings.load(settings_file)
