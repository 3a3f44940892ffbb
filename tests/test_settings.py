"""Tests of settings files: accepted values and error messages."""

import pathlib
import subprocess
import sys

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


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("drain_timeout_ms: soon", "drain_timeout_ms: found 'soon'; allowed:"),
        ("log: {url: here}", "log: found twice, again in line 9"),
        ("colour: red", "colour: found an unknown key; allowed: drain"),
        ("logging: {color: 1}", "logging.color: found an unknown key"),
        ("logging: {level: loud}", "logging.level: found 'loud'; allowed: 'de"),
        ("traces: {exporter: file}", "traces: file: found nothing"),
        ("operators: [{name: op}]", "operators.0.sha256: found nothing"),
        ('operators: [{name: op, sha256: "%s"}]' % ("0" * 64), "same sha256"),
        ("a: [", "is not YAML"),
    ],
)
def test_error_has_value_found_and_values_allowed(
    settings_file: pathlib.Path, text: str, expected: str
) -> None:
    settings_file.write_text(ENTRY + text + "\n")
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(settings_file)
    assert f"{settings_file}: " in str(caught.value)
    assert expected in str(caught.value)


def test_all_errors_are_reported_at_once_without_secrets(
    settings_file: pathlib.Path,
) -> None:
    text = ENTRY.replace("0123456789abcdef", "hush") + "id2: 1\nid3: 2\n"
    settings_file.write_text(text)
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(settings_file)
    assert len(str(caught.value).splitlines()) == 3
    assert "streams.secret" in str(caught.value)
    assert "hush" not in str(caught.value)


def test_secret_is_read_from_a_file(
    settings_file: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    secret_file = tmp_path / "secret"
    text = ENTRY.replace(
        'secret: "0123456789abcdef"', f'secret_file: "{secret_file}"'
    )
    settings_file.write_text(text)
    with pytest.raises(settings.SettingsError, match="a readable file"):
        settings.load(settings_file)
    secret_file.write_text("fedcba9876543210\n")
    assert settings.load(settings_file).streams.secret == "fedcba9876543210"


def test_invalid_settings_make_the_daemon_exit_with_2(
    settings_file: pathlib.Path,
) -> None:
    settings_file.write_text(ENTRY + "colour: red\n")
    for arguments in (
        ["entry", "--settings", str(settings_file)],
        ["check-settings", str(settings_file)],
    ):
        completed = subprocess.run(
            [sys.executable, "-m", "sardinerouted.main", *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        assert completed.returncode == 2
        assert f"{settings_file}: colour:" in completed.stderr
        assert completed.stdout == ""


def test_unknown_role_is_refused(settings_file: pathlib.Path) -> None:
    settings_file.write_text("role: queen\n")
    with pytest.raises(settings.SettingsError, match="entry, sidecar"):
        settings.load(settings_file)
