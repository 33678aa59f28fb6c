"""Tests of splitting parts into chunks and of head documents."""

import hypothesis
import pytest
from hypothesis import strategies as st

from jackdawpass.version import parts

PLATFORM_LIMIT_BYTES = 1_000_000


@hypothesis.settings(max_examples=20, deadline=None)
@hypothesis.given(text=st.text(min_size=1, max_size=8), count=st.integers(1, 400_000))
def test_split_content_is_joined_again(text: str, count: int) -> None:
    """Guards against characters lost or broken at the boundaries of chunks."""
    content = parts.encode({"value": text * count})
    chunks = parts.split_content(content)
    assert parts.join_content(chunks) == content
    assert max(len(chunk) for chunk in chunks) <= PLATFORM_LIMIT_BYTES


@pytest.mark.parametrize("character", ["a", '"', "\\", "\n", "\u00e9", "\U0001f600"])
def test_chunk_of_wide_characters_fits(character: str) -> None:
    """Guards against a chunk whose encoding exceeds the platform's limit."""
    chunks = parts.split_content(parts.encode({"value": character * 1_000_000}))
    assert len(chunks) > 1
    assert max(len(chunk) for chunk in chunks) <= PLATFORM_LIMIT_BYTES


def test_head_document_round_trip() -> None:
    """Guards against a head that is decoded with other hashes than were encoded."""
    head = parts.Head(2, "writer", "", {"base/defaults": ("one", "two")})
    assert parts.parse_head(parts.head_document(head)) == head
