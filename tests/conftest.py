"""Shared fixtures."""

import collections.abc
import os

import hypothesis
import pytest

from tests import rig

# The same examples in every run, so that CI gives the same verdict. A longer search
# among other examples: HYPOTHESIS_PROFILE=search.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.register_profile("search", deadline=None, max_examples=2000)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def processes() -> collections.abc.Iterator[rig.Rig]:
    """Give a rig of separate processes that are killed after the test."""
    running = rig.Rig()
    yield running
    running.close()
