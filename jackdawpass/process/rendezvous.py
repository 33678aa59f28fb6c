"""Rendezvous hashing: all instances make the same choice without coordination."""

import collections.abc

import xxhash


def ranked(ranking_key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return names by descending weight for a ranking key.

    Parameters
    ----------
    ranking_key : str
        What the names are ranked for, such as a zone whose reader is chosen.
    names : iterable of str
        Candidates; removing one does not change the order of the others.
    """
    return sorted(
        names, key=lambda name: (_weight(ranking_key, name), name), reverse=True
    )


def _weight(ranking_key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{ranking_key}\0{name}".encode("utf-8", "replace"))
