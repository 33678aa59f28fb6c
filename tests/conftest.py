"""Shared fixtures."""

import collections.abc

import pytest

from tests import rig


@pytest.fixture
def processes() -> collections.abc.Iterator[rig.Rig]:
    """Give a rig of separate processes that are killed after the test."""
    running = rig.Rig()
    yield running
    running.close()
