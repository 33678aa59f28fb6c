"""Specification of the distribution of committed versions between instances.

One instance reads the platform's store; a read may return an old version. An instance
sends its version on each link when the link comes up and when it accepts a newer
version; the receiver accepts a version newer than its own. Links fail, which loses the
messages in flight, and recover; messages are reordered and repeated; instances restart
with empty state.
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
        Updates in flight: sender, receiver, version.
    restarts : int
        Number of restarts so far.
    reverted : bool
        True once a running instance has reverted to an older version.
    """

    committed: int
    accepted: tuple[int, ...]
    links: frozenset[tuple[int, int]]
    in_flight: frozenset[tuple[int, int, int]]
    restarts: int
    reverted: bool


class Faults(typing.NamedTuple):
    """Deliberate protocol faults; each must violate a property."""

    accept_older: bool = False
    skip_link_up_updates: bool = False
    read_uncommitted: bool = False


NO_FAULTS = Faults()
LINKS = tuple(itertools.combinations(range(INSTANCES), 2))


def transitions(state: State, faults: Faults = NO_FAULTS) -> list[tuple[str, State]]:
    """Return all successor states with the labels of their actions."""
    found = []
    if state.committed < MAX_VERSION:
        found.append(("commit", state._replace(committed=state.committed + 1)))
    for version in range(1, state.committed + 1):
        found.append((f"read {version}", _accept(state, READER, version, faults)))
    if faults.read_uncommitted:
        found.append(("read wrong", _accept(state, READER, MAX_VERSION, faults)))
    for message in sorted(state.in_flight):
        _, receiver, version = message
        received = _accept(state, receiver, version, faults)
        found.append((f"repeat {message}", received))
        done = received._replace(in_flight=received.in_flight - {message})
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
    updates = {(number, peer, version) for peer in _linked_peers(state, number)}
    return state._replace(
        accepted=tuple(accepted),
        in_flight=state.in_flight | updates,
        reverted=state.reverted or version < current,
    )


def _linked_peers(state: State, number: int) -> list[int]:
    return [
        other
        for other in range(INSTANCES)
        if (min(number, other), max(number, other)) in state.links
    ]


def _toggle(state: State, link: tuple[int, int], faults: Faults) -> tuple[str, State]:
    if link in state.links:
        return f"cut {link}", _cut(state, link)
    up = state._replace(links=state.links | {link})
    if faults.skip_link_up_updates:
        return f"heal {link}", up
    low, high = link
    updates = {
        (sender, receiver, state.accepted[sender])
        for sender, receiver in ((low, high), (high, low))
        if state.accepted[sender] > state.accepted[receiver]
    }
    return f"heal {link}", up._replace(in_flight=up.in_flight | updates)


def _cut(state: State, link: tuple[int, int]) -> State:
    kept = {each for each in state.in_flight if set(each[:2]) != set(link)}
    return state._replace(links=state.links - {link}, in_flight=frozenset(kept))


def _restart(state: State, number: int) -> State:
    for link in LINKS:
        if number in link and link in state.links:
            state = _cut(state, link)
    accepted = list(state.accepted)
    accepted[number] = 0
    return state._replace(accepted=tuple(accepted), restarts=state.restarts + 1)


def never_reverts(values: dict[str, typing.Any]) -> bool:
    """Return whether no running instance has reverted to an older version."""
    return not values["reverted"]


def only_committed(values: dict[str, typing.Any]) -> bool:
    """Return whether every version in force was committed."""
    return max(values["accepted"]) <= values["committed"]


def in_force_everywhere(values: dict[str, typing.Any]) -> bool:
    """Return whether every instance has the newest version."""
    return set(values["accepted"]) == {values["committed"]}


def specification(faults: Faults = NO_FAULTS) -> checker.Specification:
    """Return the specification; its goal must stay reachable from every state."""

    def step(state: checker.State) -> list[tuple[str, checker.State]]:
        return list(transitions(State(*state), faults))

    initial = State(0, (0,) * INSTANCES, frozenset(LINKS), frozenset(), 0, False)
    return checker.Specification(
        name="distribution",
        fields=State._fields,
        initial=initial,
        transitions=step,
        invariants={"never_reverts": never_reverts, "only_committed": only_committed},
        goal=in_force_everywhere,
    )
