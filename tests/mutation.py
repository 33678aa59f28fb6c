"""One deliberate fault of the product, and the test that has to find it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Replaces pieces of one module by faulty ones.

    Attributes
    ----------
    promise : str
        What the faulty code breaks.
    old, new : str
        Code that stands exactly once in the module, and its replacement.
    test : str
        Test that must fail, as a pytest node id.
    also : tuple of (str, str)
        Further replacements, for checks that back each other up.
    """

    promise: str
    path: str
    old: str
    new: str
    test: str
    also: tuple[tuple[str, str], ...] = ()
