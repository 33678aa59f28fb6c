"""Splitting of JSON text into the texts of its values, whatever these contain.

A JSON decoder rejects a whole document for one value that it cannot decode. Splitting
at the brackets first confines the damage to that value.
"""

import re
import typing

# Strings, which may contain brackets, and the bytes that structure a document.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of the elements of an array.

    Raises
    ------
    ValueError
        If the text is not an array, or its brackets do not match.
    """
    text = text.strip()
    return [text[start:end] for start, _, end in _split(text, b"[", b"]")]


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Return the texts of the members of an object by their quoted names.

    Raises
    ------
    ValueError
        If the text is not an object, or its brackets do not match.
    """
    text = text.strip()
    members = {}
    for start, colon, end in _split(text, b"{", b"}"):
        if colon is None:
            raise ValueError("a member of an object has no name")
        members[text[start:colon].strip()] = text[colon + 1 : end]
    return members


def _split(
    text: bytes, opening: bytes, closing: bytes
) -> typing.Iterator[tuple[int, int | None, int]]:
    """Yield the start, first colon and end of each part between outer commas."""
    if text[:1] != opening or text[-1:] != closing:
        raise ValueError(f"not enclosed in {opening.decode()}{closing.decode()}")
    depth = 0
    start = 1
    colon: int | None = None
    last = len(text) - 1
    for match in _TOKEN.finditer(text):
        token, position = match[0], match.start()
        if token in (b"[", b"{"):
            depth += 1
        elif token in (b"]", b"}"):
            depth -= 1
            if (depth == 0) != (position == last):
                raise ValueError(f"unexpected {token.decode()} at byte {position}")
        elif depth == 1 and token == b":" and colon is None:
            colon = position
        elif depth == 1 and token == b",":
            yield start, colon, position
            start, colon = position + 1, None
    if depth:
        raise ValueError("the brackets do not match")
    if text[start:last].strip():
        yield start, colon, last
