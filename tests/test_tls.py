"""Tests of TLS and of the authentication of peers."""

import asyncio
import pathlib
import socket
import ssl
from collections.abc import Iterator

import pytest
import trustme
import typer.testing
import urllib3

import certificates
from sardineroute import main
from sardineroute_core import clock
from sardineroute_core import errors
from sardineroute_core import messages
from sardineroute_core import settings
from sardineroute_core import streams
from sardineroute_standins import caller
from sardineroute_standins import fleet as fleet_module
from sardineroute_standins import layout

TIMEOUT_S = 10.0
LOOPBACK = "127.0.0.1"


@pytest.fixture(scope="module")
def tls_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[fleet_module.Fleet]:
    """Runs a fleet that uses TLS for HTTP and for streams."""
    folder = tmp_path_factory.mktemp("tls")
    tls = certificates.issue(trustme.CA(), folder, "fleet")
    options = layout.Options(entries=2, backend_servers=1, tls=tls)
    fleet = fleet_module.Fleet(options, folder)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop(graceful=False)


def test_jobs_run_over_tls_through_any_entry(
    tls_fleet: fleet_module.Fleet,
) -> None:
    token = tls_fleet.secrets.team_tokens_by_name["anrc"]
    for number in range(4):
        job = caller.Job(f"tls-{number}", "receipt.issue", [{"n": number}])
        for url in tls_fleet.entry_urls_by_name.values():
            assert url.startswith("https://")
            outcome = caller.submit(tls_fleet.http, url, token, job)
            assert outcome.status == 200
    assert set(tls_fleet.executions().values()) == {1}


def test_command_line_verifies_the_entry(tls_fleet: fleet_module.Fleet) -> None:
    token = tls_fleet.secrets.team_tokens_by_name["anrc"]
    tls = tls_fleet.options.tls
    assert tls is not None
    arguments = [
        *("--url", tls_fleet.entry_urls_by_name["entry-1"], "--token", token),
        *("job", "submit", "-", "--kind", "receipt.issue"),
    ]
    runner = typer.testing.CliRunner()
    refused = runner.invoke(main.app, arguments, input="[1]")
    assert refused.exit_code == errors.EXIT_REFUSED
    assert "certificate verify failed" in refused.stderr
    trusting = ["--authority", str(tls.authority), *arguments]
    assert runner.invoke(main.app, trusting, input="[1]").exit_code == 0


def test_silent_and_plaintext_callers_dont_block_others(
    tls_fleet: fleet_module.Fleet,
) -> None:
    url = tls_fleet.entry_urls_by_name["entry-1"]
    parsed = urllib3.util.parse_url(url)
    assert parsed.port is not None
    address = (LOOPBACK, parsed.port)
    silent = [socket.create_connection(address) for _ in range(40)]
    plain = socket.create_connection(address, TIMEOUT_S)
    plain.sendall(b"GET /livez HTTP/1.1\r\n\r\n")
    answered = tls_fleet.http.request("GET", f"{url}/livez", timeout=TIMEOUT_S)
    assert answered.status == 200
    assert b"200 OK" not in plain.recv(1_024)
    for connection in [*silent, plain]:
        connection.close()


def _stream_options(
    fleet: fleet_module.Fleet, secret: str, tls: settings.Tls | None
) -> tuple[settings.Address, settings.Streams]:
    loaded = settings.load(fleet.folder / "sidecar-1.yaml")
    listen = loaded.streams.listen
    unused = settings.Address.model_validate({"host": LOOPBACK, "port": 0})
    return listen, settings.Streams(listen=unused, secret=secret, tls=tls)


@pytest.mark.parametrize(
    "case", ["right", "no certificate", "foreign certificate", "wrong secret"]
)
def test_stranger_cannot_start_a_task(
    tls_fleet: fleet_module.Fleet, tmp_path: pathlib.Path, case: str
) -> None:
    secret = tls_fleet.secrets.stream_secret
    tls = tls_fleet.options.tls
    assert tls is not None
    if case == "no certificate":
        tls = None
    elif case == "foreign certificate":
        foreign = certificates.issue(trustme.CA(), tmp_path, "foreign")
        # The stranger trusts the fleet, but the fleet must not trust it.
        tls = foreign.model_copy(update={"authority": tls.authority})
    elif case == "wrong secret":
        secret = "f" * 64
    address, options = _stream_options(tls_fleet, secret, tls)
    identity = streams.Identity("stranger", messages.Role.ENTRY, "1")

    async def start_task() -> messages.Result:
        connection = await streams.connect(
            address, options, identity, clock.Clock()
        )
        start = messages.Start(
            task_id=f"stranger/{case}",
            attempt=1,
            partition=0,
            epoch=2**40,
            valid_until_ms=2**60,
            digest=b"",
            kind="receipt.issue",
            payload=b"{}",
            timeout_ms=1_000,
            traceparent="",
        )
        connection.send(start)
        async for message in connection.receive():
            if isinstance(message, messages.Result):
                connection.close()
                return message
        raise AssertionError

    if case == "right":
        # Proves that the message starts a task unless the peer is refused.
        result = asyncio.run(start_task())
        assert result.outcome == messages.TaskOutcome.ANSWERED
        return
    with pytest.raises(streams.ConnectionLost):
        asyncio.run(start_task())
    assert f"stranger/{case}" not in tls_fleet.executions()


def test_invalid_certificate_settings_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    authority = trustme.CA()
    one = certificates.issue(authority, tmp_path, "one")
    other = certificates.issue(authority, tmp_path, "other")
    for change, expected in (
        ({"key": other.key}, "its key in PEM form"),
        ({"key": tmp_path / "none"}, "a readable file"),
        ({"authority": one.key}, "authority: found"),
    ):
        document = {**one.model_dump(), **change}
        with pytest.raises(ValueError, match=expected):
            settings.Tls.model_validate(document)


def test_foreign_server_is_not_trusted(
    tls_fleet: fleet_module.Fleet, tmp_path: pathlib.Path
) -> None:
    foreign = certificates.issue(trustme.CA(), tmp_path, "foreign")
    url = tls_fleet.entry_urls_by_name["entry-1"]
    with (
        urllib3.PoolManager(ca_certs=str(foreign.authority)) as http,
        pytest.raises(urllib3.exceptions.SSLError) as caught,
    ):
        http.request("GET", f"{url}/livez", retries=False)
    assert isinstance(caught.value.args[0], ssl.SSLCertVerificationError)
