"""Tests of the settings of an entry instance and their origins."""

import dataclasses

from returns import result

from jackdawpass.process import settings

TEXT = """// comment
{"instance": "entry-1", "zone": "a", "site": "s", "port": 1, "events": 5}
"""


def test_later_sources_take_precedence_and_origins_are_known() -> None:
    """Guards against a precedence that differs from the documented one."""
    environment = {"JACKDAWPASS_PORT": "2", "JACKDAWPASS_ZONE": "b", "HOME": "/"}
    loaded = settings.load(TEXT, "e.json", environment, {"port": "3"}).unwrap()
    assert loaded.settings == settings.EntrySettings(
        "entry-1", "b", "s", port=3, events=5
    )
    assert loaded.origins["port"] == "flag --port"
    assert loaded.origins["zone"] == "environment JACKDAWPASS_ZONE"
    assert loaded.origins["events"] == "file e.json"
    assert loaded.origins["host"] == "default"


def test_all_faults_are_reported_at_once_with_remedies() -> None:
    """Guards against reporting one fault at a time, and faults without a path."""
    text = '{"zone": 3, "portt": 1, "port": true, "site": "s"}'
    environment = {"JACKDAWPASS_ZONNE": "b", "JACKDAWPASS_EVENTS": "many"}
    loaded = settings.load(text, "e.json", environment, {"log_share": "x"})
    assert isinstance(loaded, result.Failure)
    lines = str(loaded.failure()).splitlines()
    expected = (
        "environment JACKDAWPASS_ZONNE: is unknown; did you mean 'JACKDAWPASS_ZONE'?",
        "zone (file e.json): must be a string, not 3; correct the value",
        "port (file e.json): must be an integer, not True; correct the value",
        "portt (file e.json): is unknown; did you mean 'port'?",
        "events (environment JACKDAWPASS_EVENTS): must be an integer, not 'many'; "
        "correct the value",
        "log_share (flag --log-share): must be a number, not 'x'; correct the value",
        "instance: is required; add it",
    )
    assert sorted(lines) == sorted(expected)


def test_values_out_of_range_and_broken_files_are_refused() -> None:
    """Guards against invalid values that fail only when they are used."""
    flags = {"port": "70000", "log_share": "NaN", "platform_url": "x", "zone": ""}
    loaded = settings.load(TEXT, "e.json", {}, flags)
    paths = [fault.path.split(" ")[0] for fault in loaded.failure().faults]
    assert sorted(paths) == ["log_share", "platform_url", "port", "zone"]
    flags = {"statsd_host": "localhost", "zone": "a\r\nX: y"}
    loaded = settings.load(TEXT, "e.json", {}, flags)
    paths = [fault.path.split(" ")[0] for fault in loaded.failure().faults]
    assert sorted(paths) == ["statsd_host", "zone"]
    for text in ("{", "[]", "3"):
        assert isinstance(settings.parse(text), result.Failure)


def test_every_setting_is_documented() -> None:
    """Guards against a setting without documentation."""
    for field in dataclasses.fields(settings.EntrySettings):
        assert field.name in (settings.EntrySettings.__doc__ or "")


def test_faults_of_type_and_of_range_are_reported_together() -> None:
    """Guards against checking ranges only after all types are valid."""
    flags = {"zone": "", "port": "x", "events": "0", "platform_url": "ftp://h"}
    loaded = settings.load(TEXT, "e.json", {}, flags)
    lines = [str(fault) for fault in loaded.failure().faults]
    assert lines == [
        "zone (flag --zone): is empty; give it a value",
        "port (flag --port): must be an integer, not 'x'; correct the value",
        "events (flag --events): 0 is out of range; use a value from 1 to 10000000",
        "platform_url (flag --platform-url): is not an HTTP URL; use http://HOST:PORT",
    ]
