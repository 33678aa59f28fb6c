"""Specification of spreading accepted versions between instances.

One instance reads the platform's store, possibly stale. Instances announce their
version on each link when it comes up and when they accept a newer one; a peer takes
over what is newer than its own. Links break, which loses what is on its way, and heal;
messages are reordered and repeated; instances restart with empty state.
"""

import itertools
import typing

from specs import checker

INSTANCES = 3
MAX_VERSION = 2
MAX_RESTARTS = 1
READER = 0


class State(typing.NamedTuple):
    """The whole system.

    Attributes
    ----------
    committed : int
        Newest version in the platform's store.
    accepted : tuple of int
        Version in force on each instance; 0 after a start with empty state.
    links : frozenset of (int, int)
        Links that are up, as ordered pairs with the lower number first.
    flying : frozenset of (int, int, int)
        Updates on their way: sender, receiver, version.
    restarts : int
        Number of restarts so far.
    reverted : bool
        True once a running instance went back to an older version.
    """

    committed: int
    accepted: tuple[int, ...]
    links: frozenset[tuple[int, int]]
    flying: frozenset[tuple[int, int, int]]
    restarts: int
    reverted: bool


class Faults(typing.NamedTuple):
    """Seeded mutations of the protocol; each must break a property."""

    accept_older: bool = False
    silent_link_up: bool = False
    invent_version: bool = False


NO_FAULTS = Faults()
LINKS = tuple(itertools.combinations(range(INSTANCES), 2))


def transitions(state: State, faults: Faults = NO_FAULTS) -> list[tuple[str, State]]:
    """Return all next states with the labels of their actions."""
    found = []
    if state.committed < MAX_VERSION:
        found.append(("commit", state._replace(committed=state.committed + 1)))
    for version in range(1, state.committed + 1):
        found.append((f"read {version}", _accept(state, READER, version, faults)))
    if faults.invent_version:
        found.append(("read wrong", _accept(state, READER, MAX_VERSION, faults)))
    for message in sorted(state.flying):
        _, receiver, version = message
        received = _accept(state, receiver, version, faults)
        found.append((f"repeat {message}", received))
        done = received._replace(flying=received.flying - {message})
        found.append((f"deliver {message}", done))
    for link in LINKS:
        found.append(_toggle(state, link, faults))
    if state.restarts < MAX_RESTARTS:
        for number in range(INSTANCES):
            found.append((f"restart {number}", _restart(state, number)))
    return found


def _accept(state: State, number: int, version: int, faults: Faults) -> State:
    current = state.accepted[number]
    if version <= current and not (faults.accept_older and version < current):
        return state
    accepted = list(state.accepted)
    accepted[number] = version
    news = {(number, peer, version) for peer in _peers(state, number)}
    return state._replace(
        accepted=tuple(accepted),
        flying=state.flying | news,
        reverted=state.reverted or version < current,
    )


def _peers(state: State, number: int) -> list[int]:
    return [
        other
        for other in range(INSTANCES)
        if (min(number, other), max(number, other)) in state.links
    ]


def _toggle(state: State, link: tuple[int, int], faults: Faults) -> tuple[str, State]:
    if link in state.links:
        return f"cut {link}", _cut(state, link)
    up = state._replace(links=state.links | {link})
    if faults.silent_link_up:
        return f"heal {link}", up
    low, high = link
    news = {
        (sender, receiver, state.accepted[sender])
        for sender, receiver in ((low, high), (high, low))
        if state.accepted[sender] > state.accepted[receiver]
    }
    return f"heal {link}", up._replace(flying=up.flying | news)


def _cut(state: State, link: tuple[int, int]) -> State:
    kept = {each for each in state.flying if set(each[:2]) != set(link)}
    return state._replace(links=state.links - {link}, flying=frozenset(kept))


def _restart(state: State, number: int) -> State:
    for link in LINKS:
        if number in link and link in state.links:
            state = _cut(state, link)
    accepted = list(state.accepted)
    accepted[number] = 0
    return state._replace(accepted=tuple(accepted), restarts=state.restarts + 1)


def never_reverts(values: dict[str, typing.Any]) -> bool:
    """Hold while no running instance went back to an older version."""
    return not values["reverted"]


def only_committed(values: dict[str, typing.Any]) -> bool:
    """Hold while every version in force was committed."""
    return max(values["accepted"]) <= values["committed"]


def in_force_everywhere(values: dict[str, typing.Any]) -> bool:
    """Hold when every instance has the newest version."""
    return set(values["accepted"]) == {values["committed"]}


def specification(faults: Faults = NO_FAULTS) -> checker.Specification:
    """Return the specification; its goal must stay reachable from every state."""

    def step(state: checker.State) -> list[tuple[str, checker.State]]:
        return list(transitions(State(*state), faults))

    initial = State(0, (0,) * INSTANCES, frozenset(LINKS), frozenset(), 0, False)
    return checker.Specification(
        name="spread",
        fields=State._fields,
        initial=initial,
        transitions=step,
        invariants={"never_reverts": never_reverts, "only_committed": only_committed},
        goal=in_force_everywhere,
    )
