"""Distribution of versions over a lossy network."""

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


class World:
    """Four instances, a platform, and links that lose, repeat and reorder."""

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
        named = dict(self.heads[-1].parts) if self.heads else {}
        content = make_content(version, changed)
        self.chunks[bytes.fromhex(parts.chunk_hash(content))] = content
        named[f"part-{changed}"] = parts.address(content)
        if version % 3 == 0:
            named.pop(f"part-{(changed + 1) % 5}", None)
        self.heads.append(parts.Head(version, f"w{version}", "", named))

    def perform(self, name: str, actions: distribution.Actions) -> None:
        for action in actions:
            if isinstance(action, distribution.Send):
                self.messages.append((name, action.peer, action.frame))
            elif isinstance(action, distribution.Accept):
                self.check(name, action)
            elif isinstance(action, distribution.ReadChunk):
                self.read_chunk(name, action.hash)
            else:
                raise AssertionError(f"{name} closes an honest link")

    def read_chunk(self, name: str, address: bytes) -> None:
        self.chunk_reads += 1
        content = self.chunks[address] if self.platform_up else None
        instance = self.instances[name]
        self.perform(name, instance.on_platform_chunk(self.now, address, content))

    def check(self, name: str, accept: distribution.Accept) -> None:
        assert accept.version > self.accepted[name], "the version decreased"
        self.accepted[name] = accept.version
        head = self.heads[accept.version - 1]
        named = {
            key: tuple(parts.chunk_hash(chunk) for chunk in chunks)
            for key, chunks in accept.chunks.items()
        }
        assert named == head.parts, "the contents are of another version"

    def read_head(self, name: str, version: int, patient: bool) -> None:
        if not self.platform_up or not self.heads:
            return
        head = self.heads[version % len(self.heads)]
        instance = self.instances[name]
        self.perform(name, instance.on_platform_head(self.now, head, patient))

    def link(self, first: str, second: str) -> None:
        self.links.add(frozenset((first, second)))
        for name, peer in ((first, second), (second, first)):
            version = self.instances[peer].version
            instance = self.instances[name]
            self.perform(name, instance.on_link_up(self.now, peer, version))

    def cut(self, first: str, second: str) -> None:
        self.links.discard(frozenset((first, second)))
        for name, peer in ((first, second), (second, first)):
            instance = self.instances[name]
            self.perform(name, instance.on_link_down(self.now, peer))

    def restart(self, name: str) -> None:
        for link in [each for each in self.links if name in each]:
            first, second = sorted(link)
            self.cut(first, second)
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
    """Any order of commits, reads, losses, repeats, restarts and partitions."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @stateful.rule(changed=strategies.integers(0, 4))
    def commit(self, changed: int) -> None:
        self.world.commit(changed)

    @stateful.rule(
        name=names, version=strategies.integers(0), patient=strategies.booleans()
    )
    def read_head_maybe_stale(self, name: str, version: int, patient: bool) -> None:
        self.world.read_head(name, version, patient)

    @stateful.rule(pair=pairs)
    def link(self, pair: tuple[str, str]) -> None:
        self.world.link(*pair)

    @stateful.rule(pair=pairs)
    def cut(self, pair: tuple[str, str]) -> None:
        self.world.cut(*pair)

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        self.world.restart(name)

    @stateful.rule(up=strategies.booleans())
    def platform(self, up: bool) -> None:
        self.world.platform_up = up

    @stateful.rule(position=strategies.integers(0), repeat=strategies.booleans())
    def deliver(self, position: int, repeat: bool) -> None:
        self.world.deliver(position, repeat)

    @stateful.rule(position=strategies.integers(0))
    def lose(self, position: int) -> None:
        if self.world.messages:
            del self.world.messages[position % len(self.world.messages)]

    @stateful.rule()
    def tick(self) -> None:
        self.world.tick()

    def teardown(self) -> None:
        world = self.world
        if not world.heads:
            return
        world.platform_up = True
        for first, second in zip(NAMES, NAMES[1:], strict=False):
            world.link(first, second)
        world.read_head(NAMES[0], len(world.heads) - 1, False)
        for _ in range(20):
            world.tick()
            world.ping()
            while world.messages:
                world.deliver(0, keep=False)
        versions = {each.version for each in world.instances.values()}
        assert versions == {len(world.heads)}, "an instance misses the newest version"


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60, deadline=None
)


def _spread(world: World) -> None:
    while world.messages:
        world.deliver(0, keep=False)


def test_only_differences_travel() -> None:
    """Guards against sending the whole configuration for each change."""
    world = World()
    for part in range(5):
        world.commit(part)
    world.read_head("e0", 4, False)
    world.link("e0", "e1")
    _spread(world)
    world.commit(2)
    world.read_head("e0", 5, False)
    updates = []
    while world.messages:
        updates += [m[2] for m in world.messages if isinstance(m[2], frames.Update)]
        world.deliver(0, keep=False)
    assert world.instances["e1"].version == 6
    assert {len(each.changed) for each in updates} == {1}
    assert {len(each.contents) for each in updates} == {1}


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
def test_head_that_peers_refuse_is_ignored(head: parts.Head) -> None:
    """Guards against a head on which the links of all peers are closed."""
    instance = distribution.Distribution()
    assert instance.on_platform_head(0.0, head, patient=False) == ()
    assert instance.version == 0


def test_contents_with_another_hash_are_not_accepted() -> None:
    """Guards against a corrupt chunk that comes into force."""
    world = World()
    world.commit(0)
    instance = world.instances["e1"]
    instance.on_link_up(0.0, "e0", 1)
    head = distribution.from_head(world.heads[0])
    assert head is not None
    update = frames.Update(
        1, "w1", "", 0, dict(head.parts), (), head.digest(), (b"forged",)
    )
    actions = instance.on_update(0.0, "e0", update)
    assert instance.version == 0
    assert isinstance(actions[0], distribution.Send)
    assert isinstance(actions[0].frame, frames.Need)


def _offer(instance: distribution.Distribution, peers: list[str]) -> str:
    """Link peers that have version 1; return the one that is asked."""
    asked: list[distribution.Action] = []
    for peer in peers:
        asked += instance.on_link_up(0.0, peer, 1)
    (want,) = asked
    assert isinstance(want, distribution.Send)
    assert want.frame == frames.Want(0)
    return want.peer


def test_peer_that_does_not_answer_is_replaced() -> None:
    """Guards against an instance that waits for ever for a paused peer."""
    instance = distribution.Distribution()
    asked = _offer(instance, ["e0", "e2"])
    (again,) = instance.on_tick(distribution.ANSWER_TIMEOUT_SECONDS)
    assert isinstance(again, distribution.Send)
    assert again.peer != asked
    assert again.frame == frames.Want(0)


def test_peer_that_sends_other_contents_is_replaced() -> None:
    """Guards against a peer with corrupt contents that is asked for ever."""
    world = World()
    world.commit(0)
    head = distribution.from_head(world.heads[0])
    assert head is not None
    instance = distribution.Distribution()
    asked = _offer(instance, ["e0", "e2"])
    whole = frames.Update(1, "w1", "", 0, dict(head.parts), (), head.digest(), ())
    instance.on_update(0.0, asked, whole)
    (need,) = instance.on_chunks(0.0, asked, frames.Chunks((b"forged",)))
    assert isinstance(need, distribution.Send)
    assert need.peer != asked


def test_head_that_does_not_match_its_digest_closes_the_link() -> None:
    """Guards against a head that was put together from a wrong base."""
    instance = distribution.Distribution()
    instance.on_link_up(0.0, "e0", 1)
    forged = frames.Update(1, "w", "", 0, {}, (), bytes(32), ())
    assert instance.on_update(0.0, "e0", forged) == (distribution.CloseLink("e0"),)
    assert instance.version == 0


def test_patient_instance_reads_no_chunk_that_a_peer_can_give() -> None:
    """Guards against every new instance reading all chunks from the platform."""
    world = World()
    for part in range(5):
        world.commit(part)
    world.read_head("e0", 4, False)
    before = world.chunk_reads
    world.read_head("e1", 4, True)
    world.link("e0", "e1")
    for _ in range(4):
        world.tick()
        _spread(world)
    assert world.instances["e1"].version == 5
    assert world.chunk_reads == before


def test_large_contents_are_sent_in_bounded_frames() -> None:
    """Guards against one frame that holds the whole configuration."""
    world = World()
    named = {}
    for part in range(6):
        content = parts.encode(random.Random(part).randbytes(100_000).hex())
        world.chunks[bytes.fromhex(parts.chunk_hash(content))] = content
        named[f"part-{part}"] = parts.address(content)
    world.heads.append(parts.Head(1, "w1", "", named))
    world.read_head("e0", 0, False)
    world.link("e0", "e1")
    while world.messages:
        frame = world.messages[0][2]
        limit = 2 * distribution.UPDATE_CONTENT_BYTES
        assert len(frames.encode(frame)) < limit
        world.deliver(0, keep=False)
    assert world.instances["e1"].version == 1
