"""Headers that instances exchange."""

import pytest

from jackdawpass.connection import dialect
from jackdawpass.process.serving import peer_wire
from jackdawpass.version import routes


def test_limits_survive_a_round_trip() -> None:
    """Guards against units that differ between the reporting and the reading side."""
    limits = routes.CallerLimits(1000, 2000, 0.5, 4.25)
    reply = dialect.HttpReply(200, b"", peer_wire.encode_limits(limits))
    assert peer_wire.decode_limits(reply) == limits


@pytest.mark.parametrize("value", [b"", b"1,2,3", b"1,2,3,x", b"1,2,3,4,5"])
def test_malformed_limits_are_ignored(value: bytes) -> None:
    """Guards against limits that no configuration has."""
    reply = dialect.HttpReply(200, b"", ((peer_wire.LIMITS, value),))
    assert peer_wire.decode_limits(reply) is None
