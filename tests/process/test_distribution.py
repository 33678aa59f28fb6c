"""Tests of version distribution over a lossy network."""

import random

import hypothesis
import pytest
from hypothesis import stateful, strategies

from jackdawpass.connection import frames
from jackdawpass.process import distribution
from jackdawpass.version import parts

NAMES = ("e0", "e1", "e2", "e3")
TICK_SECONDS = 0.4


def make_content(version: int, part: int) -> bytes:
    return parts.encode({"version": version, "part": part})


class Simulation:
    """Simulation of four instances, a platform and links.

    The links can lose, repeat and reorder messages.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.heads: list[parts.Head] = []
        self.chunks: dict[bytes, bytes] = {}
        self.platform_up = True
        self.instances = {name: distribution.Distribution() for name in NAMES}
        self.accepted = {name: 0 for name in NAMES}
        self.links: set[frozenset[str]] = set()
        self.messages: list[tuple[str, str, frames.Frame]] = []
        self.chunk_reads = 0

    def commit(self, changed: int) -> None:
        version = len(self.heads) + 1
        hashes_by_part = dict(self.heads[-1].parts) if self.heads else {}
        content = make_content(version, changed)
        self.chunks[bytes.fromhex(parts.chunk_hash(content))] = content
        hashes_by_part[f"part-{changed}"] = parts.chunk_hashes(content)
        if version % 3 == 0:
            hashes_by_part.pop(f"part-{(changed + 1) % 5}", None)
        self.heads.append(parts.Head(version, f"w{version}", "", hashes_by_part))

    def perform(self, name: str, actions: distribution.Actions) -> None:
        for action in actions:
            if isinstance(action, distribution.Send):
                self.messages.append((name, action.peer, action.frame))
            elif isinstance(action, distribution.Accept):
                self.check_accepted(name, action)
            elif isinstance(action, distribution.ReadChunk):
                self.read_chunk(name, action.chunk_hash)
            else:
                raise AssertionError(f"{name} closes the link of a correct peer")

    def read_chunk(self, name: str, chunk_hash: bytes) -> None:
        self.chunk_reads += 1
        content = self.chunks[chunk_hash] if self.platform_up else None
        instance = self.instances[name]
        self.perform(name, instance.on_platform_chunk(self.now, chunk_hash, content))

    def check_accepted(self, name: str, accept: distribution.Accept) -> None:
        assert accept.version > self.accepted[name], "the version decreased"
        self.accepted[name] = accept.version
        head = self.heads[accept.version - 1]
        hashes_by_part = {
            key: tuple(parts.chunk_hash(chunk) for chunk in chunks)
            for key, chunks in accept.chunks.items()
        }
        assert hashes_by_part == head.parts, "the contents belong to another version"

    def read_head(self, name: str, version: int, prefer_peers: bool) -> None:
        if not self.platform_up or not self.heads:
            return
        head = self.heads[version % len(self.heads)]
        instance = self.instances[name]
        self.perform(name, instance.on_platform_head(self.now, head, prefer_peers))

    def link(self, first: str, second: str) -> None:
        self.links.add(frozenset((first, second)))
        for name, peer in ((first, second), (second, first)):
            version = self.instances[peer].version
            instance = self.instances[name]
            self.perform(name, instance.on_link_up(self.now, peer, version))

    def disconnect(self, first: str, second: str) -> None:
        self.links.discard(frozenset((first, second)))
        for name, peer in ((first, second), (second, first)):
            instance = self.instances[name]
            self.perform(name, instance.on_link_down(self.now, peer))

    def restart(self, name: str) -> None:
        for link in [link for link in self.links if name in link]:
            first, second = sorted(link)
            self.disconnect(first, second)
        self.instances[name] = distribution.Distribution()
        self.accepted[name] = 0

    def deliver(self, position: int, keep: bool) -> None:
        if not self.messages:
            return
        position %= len(self.messages)
        sender, receiver, frame = self.messages[position]
        if not keep:
            del self.messages[position]
        if frozenset((sender, receiver)) not in self.links:
            return
        instance = self.instances[receiver]
        decoded = frames.decode(frames.encode(frame)).unwrap()
        self.perform(receiver, handle(instance, self.now, sender, decoded))

    def tick(self) -> None:
        self.now += TICK_SECONDS
        for name, instance in self.instances.items():
            self.perform(name, instance.on_tick(self.now))

    def ping(self) -> None:
        for link in self.links:
            first, second = sorted(link)
            for name, peer in ((first, second), (second, first)):
                have = frames.Have(self.instances[name].version)
                self.messages.append((name, peer, have))


def handle(
    instance: distribution.Distribution, now: float, peer: str, frame: frames.Frame
) -> distribution.Actions:
    if isinstance(frame, frames.Have):
        return instance.on_have(now, peer, frame.version)
    if isinstance(frame, frames.Want):
        return instance.on_want(now, peer, frame)
    if isinstance(frame, frames.Update):
        return instance.on_update(now, peer, frame)
    if isinstance(frame, frames.Need):
        return instance.on_need(now, peer, frame)
    assert isinstance(frame, frames.Chunks)
    return instance.on_chunks(now, peer, frame)


names = strategies.sampled_from(NAMES)
pairs = strategies.tuples(names, names).filter(lambda pair: pair[0] != pair[1])


class Machine(stateful.RuleBasedStateMachine):
    """Random order of commits, reads, losses, repeats, restarts and partitions.

    Once the faults end, all instances must accept the newest version.
    """

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation()

    @stateful.rule(changed=strategies.integers(0, 4))
    def commit(self, changed: int) -> None:
        self.simulation.commit(changed)

    @stateful.rule(
        name=names, version=strategies.integers(0), prefer_peers=strategies.booleans()
    )
    def read_head_maybe_stale(
        self, name: str, version: int, prefer_peers: bool
    ) -> None:
        self.simulation.read_head(name, version, prefer_peers)

    @stateful.rule(pair=pairs)
    def link(self, pair: tuple[str, str]) -> None:
        self.simulation.link(*pair)

    @stateful.rule(pair=pairs)
    def disconnect(self, pair: tuple[str, str]) -> None:
        self.simulation.disconnect(*pair)

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        self.simulation.restart(name)

    @stateful.rule(up=strategies.booleans())
    def platform(self, up: bool) -> None:
        self.simulation.platform_up = up

    @stateful.rule(position=strategies.integers(0), repeat=strategies.booleans())
    def deliver(self, position: int, repeat: bool) -> None:
        self.simulation.deliver(position, repeat)

    @stateful.rule(position=strategies.integers(0))
    def lose(self, position: int) -> None:
        if self.simulation.messages:
            del self.simulation.messages[position % len(self.simulation.messages)]

    @stateful.rule()
    def tick(self) -> None:
        self.simulation.tick()

    def teardown(self) -> None:
        simulation = self.simulation
        if not simulation.heads:
            return
        simulation.platform_up = True
        for first, second in zip(NAMES, NAMES[1:], strict=False):
            simulation.link(first, second)
        simulation.read_head(NAMES[0], len(simulation.heads) - 1, False)
        for _ in range(20):
            simulation.tick()
            simulation.ping()
            while simulation.messages:
                simulation.deliver(0, keep=False)
        versions = {instance.version for instance in simulation.instances.values()}
        assert versions == {len(simulation.heads)}, "an instance is out of date"


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60, deadline=None
)


def _deliver_all(simulation: Simulation) -> None:
    while simulation.messages:
        simulation.deliver(0, keep=False)


def test_only_differences_are_sent() -> None:
    """Guards against sending the complete configuration for each change."""
    simulation = Simulation()
    for part in range(5):
        simulation.commit(part)
    simulation.read_head("e0", 4, False)
    simulation.link("e0", "e1")
    _deliver_all(simulation)
    simulation.commit(2)
    simulation.read_head("e0", 5, False)
    updates = []
    while simulation.messages:
        updates += [
            m[2] for m in simulation.messages if isinstance(m[2], frames.Update)
        ]
        simulation.deliver(0, keep=False)
    assert simulation.instances["e1"].version == 6
    assert {len(update.changed) for update in updates} == {1}
    assert {len(update.contents) for update in updates} == {1}


@pytest.mark.parametrize(
    "head",
    [
        parts.Head(2**62, "w", "", {}),
        parts.Head(-1, "w", "", {}),
        parts.Head(1, "w", "", {"x": ("not hexadecimal",)}),
        parts.Head(1, "w", "", {"x": ("00",)}),
        parts.Head(1, "w" * 1000, "", {}),
        parts.Head(1, "w", "", {"": ("00" * 32,)}),
    ],
)
def test_head_that_peers_would_reject_is_ignored(head: parts.Head) -> None:
    """Guards against accepting a head for which all peers would close their links."""
    instance = distribution.Distribution()
    assert instance.on_platform_head(0.0, head, prefer_peers=False) == ()
    assert instance.version == 0


def test_contents_with_another_hash_are_not_accepted() -> None:
    """Guards against accepting a version that has a corrupt chunk."""
    simulation = Simulation()
    simulation.commit(0)
    instance = simulation.instances["e1"]
    instance.on_link_up(0.0, "e0", 1)
    head = distribution.to_binary_head(simulation.heads[0])
    assert head is not None
    update = frames.Update(
        1, "w1", "", 0, dict(head.parts), (), head.digest(), (b"forged",)
    )
    actions = instance.on_update(0.0, "e0", update)
    assert instance.version == 0
    assert isinstance(actions[0], distribution.Send)
    assert isinstance(actions[0].frame, frames.Need)


def _link_peers(instance: distribution.Distribution, peers: list[str]) -> str:
    """Link peers that have version 1; return the one that receives the request."""
    actions: list[distribution.Action] = []
    for peer in peers:
        actions += instance.on_link_up(0.0, peer, 1)
    (want,) = actions
    assert isinstance(want, distribution.Send)
    assert want.frame == frames.Want(0)
    return want.peer


def test_peer_that_does_not_answer_is_replaced() -> None:
    """Guards against waiting indefinitely for a paused peer."""
    instance = distribution.Distribution()
    requested_peer = _link_peers(instance, ["e0", "e2"])
    (repeated,) = instance.on_tick(distribution.ANSWER_TIMEOUT_SECONDS)
    assert isinstance(repeated, distribution.Send)
    assert repeated.peer != requested_peer
    assert repeated.frame == frames.Want(0)


def test_peer_that_sends_other_contents_is_replaced() -> None:
    """Guards against requesting chunks from a peer with corrupt contents forever."""
    simulation = Simulation()
    simulation.commit(0)
    head = distribution.to_binary_head(simulation.heads[0])
    assert head is not None
    instance = distribution.Distribution()
    requested_peer = _link_peers(instance, ["e0", "e2"])
    full_update = frames.Update(1, "w1", "", 0, dict(head.parts), (), head.digest(), ())
    instance.on_update(0.0, requested_peer, full_update)
    (need,) = instance.on_chunks(0.0, requested_peer, frames.Chunks((b"forged",)))
    assert isinstance(need, distribution.Send)
    assert need.peer != requested_peer


def test_head_that_does_not_match_its_digest_closes_the_link() -> None:
    """Guards against accepting a head that was built from a wrong base."""
    instance = distribution.Distribution()
    instance.on_link_up(0.0, "e0", 1)
    forged = frames.Update(1, "w", "", 0, {}, (), bytes(32), ())
    assert instance.on_update(0.0, "e0", forged) == (distribution.CloseLink("e0"),)
    assert instance.version == 0


def test_instance_that_prefers_peers_reads_no_chunk_from_the_platform() -> None:
    """Guards against each new instance reading all chunks from the platform."""
    simulation = Simulation()
    for part in range(5):
        simulation.commit(part)
    simulation.read_head("e0", 4, False)
    before = simulation.chunk_reads
    simulation.read_head("e1", 4, True)
    simulation.link("e0", "e1")
    for _ in range(4):
        simulation.tick()
        _deliver_all(simulation)
    assert simulation.instances["e1"].version == 5
    assert simulation.chunk_reads == before


def test_large_contents_are_sent_in_bounded_frames() -> None:
    """Guards against sending the complete configuration in one frame."""
    simulation = Simulation()
    hashes_by_part = {}
    for part in range(6):
        content = parts.encode(random.Random(part).randbytes(100_000).hex())
        simulation.chunks[bytes.fromhex(parts.chunk_hash(content))] = content
        hashes_by_part[f"part-{part}"] = parts.chunk_hashes(content)
    simulation.heads.append(parts.Head(1, "w1", "", hashes_by_part))
    simulation.read_head("e0", 0, False)
    simulation.link("e0", "e1")
    while simulation.messages:
        frame = simulation.messages[0][2]
        limit = 2 * distribution.MAX_FRAME_CONTENT_BYTES
        assert len(frames.encode(frame)) < limit
        simulation.deliver(0, keep=False)
    assert simulation.instances["e1"].version == 1
