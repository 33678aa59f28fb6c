"""Rendezvous hashing: the same choice everywhere without agreement."""

import collections.abc

import xxhash


def ranked(duty: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return names in the order in which they take a duty.

    Parameters
    ----------
    duty : str
        Name of the duty, such as a zone whose reader is chosen.
    names : iterable of str
        Candidates; removing one does not change the order of the others.
    """
    return sorted(names, key=lambda name: (_weight(duty, name), name), reverse=True)


def _weight(duty: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{duty}\0{name}".encode("utf-8", "replace"))
