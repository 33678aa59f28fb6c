"""One mutation of the product and the test that must detect it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Replaces code in one module by faulty code.

    Attributes
    ----------
    guarantee : str
        Guarantee that the faulty code violates.
    old, new : str
        Code that occurs exactly once in the module, and its replacement.
    test : str
        Test that must fail, as a pytest node id.
    also : tuple of (str, str)
        Further replacements, for code with redundant checks.
    """

    guarantee: str
    path: str
    old: str
    new: str
    test: str
    also: tuple[tuple[str, str], ...] = ()
