"""The faults of a run, drawn from its seed; several may hold at once."""

import collections.abc
import dataclasses
import random
import signal
import time

from soak import checks, proxy, testbed

MIN_SECONDS = 0.5
MAX_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class Injected:
    """A fault and how to end it."""

    name: str
    end: collections.abc.Callable[[], None]


class Injector:
    """Injects faults from outside the processes."""

    def __init__(self, generator: random.Random, running: testbed.Testbed) -> None:
        self._random = generator
        self._testbed = running
        self.left: list[checks.Left] = []
        self._kinds: tuple[collections.abc.Callable[[], Injected], ...] = (
            self.link_to_target,
            self.link_to_store,
            self.store,
            self.history,
            self.target,
            self.group,
            self.freeze,
            self.kill,
            self.planned_stop,
            self.configuration,
            self.leaving,
        )

    def draw(self) -> Injected:
        """Inject a fault that is drawn at random."""
        return self._random.choice(self._kinds)()

    def link_to_target(self) -> Injected:
        """Spoil the link to one target."""
        name = self._random.choice(sorted(self._testbed.target_links))
        return self._spoil(self._testbed.target_links[name], f"target {name}")

    def link_to_store(self) -> Injected:
        """Spoil the link of one front to the store."""
        name = self._random.choice(sorted(self._testbed.store_links))
        return self._spoil(self._testbed.store_links[name], f"store of {name}")

    def store(self) -> Injected:
        """Let the store misbehave towards all."""
        faults: dict[str, object] = self._random.choice(
            [{"silent": True}, {"refuse": 503}, {"refuse": 429}, {"delay_ms": 250}]
        )
        store = self._testbed.store
        self._testbed.faults(store, **faults)
        return Injected(f"store {faults}", lambda: self._testbed.faults(store))

    def history(self) -> Injected:
        """Let the store forget its history."""
        self._testbed.forget_history()
        return Injected("history", _nothing)

    def target(self) -> Injected:
        """Let one target misbehave."""
        name = self._random.choice(sorted(self._testbed.targets))
        modes = ["error", "shed", "hang", "reset", "cut", "extra", "unframed"]
        mode = self._random.choice(modes)
        target = self._testbed.targets[name]
        self._testbed.faults(target, mode=mode)
        return Injected(f"{name} {mode}", lambda: self._testbed.faults(target))

    def group(self) -> Injected:
        """Let all targets of one group misbehave: answers are partial, at best."""
        group = self._random.choice(testbed.GROUPS)
        mode = self._random.choice(["error", "hang", "reset", "cut"])
        members = [t for n, t in self._testbed.targets.items() if n.startswith(group)]
        for target in members:
            self._testbed.faults(target, mode=mode)

        def mend() -> None:
            for target in members:
                self._testbed.faults(target)

        return Injected(f"{group} {mode}", mend)

    def freeze(self) -> Injected:
        """Stop one front for a while."""
        name = self._random.choice(sorted(self._testbed.fronts))
        front = self._testbed.fronts[name]
        front.signal(signal.SIGSTOP)
        return Injected(f"freeze {name}", lambda: front.signal(signal.SIGCONT))

    def kill(self) -> Injected:
        """Kill one front, and start it again later."""
        name = self._random.choice(sorted(self._testbed.fronts))
        front = self._testbed.fronts[name]
        front.signal(signal.SIGKILL)
        return Injected(f"kill {name}", front.restart)

    def planned_stop(self) -> Injected:
        """Ask one front to stop, and start it again when it has."""
        name = self._random.choice(sorted(self._testbed.fronts))
        front = self._testbed.fronts[name]
        front.signal(signal.SIGTERM)
        return Injected(f"stop {name}", front.restart)

    def configuration(self) -> Injected:
        """Change the configuration a few times in a row."""
        for _ in range(self._random.randint(1, 4)):
            self._testbed.configure()
        return Injected("configuration", _nothing)

    def leaving(self) -> Injected:
        """Let one target leave; it comes back as another incarnation."""
        name = self._random.choice(sorted(self._testbed.targets))
        self._testbed.list_target(name, state="draining")
        born = round(time.time() * 1000)

        def back() -> None:
            self._testbed.list_target(name, state="ready", born=born)

        return Injected(f"leave {name}", back)

    def _spoil(self, link: proxy.Link, what: str) -> Injected:
        modes = [mode for mode in proxy.Mode if mode is not proxy.Mode.CALM]
        mode = self._random.choice(modes)
        self._testbed.proxies.set(link, mode)

        def mend() -> None:
            self._testbed.proxies.set(link, proxy.Mode.CALM)
            # What was held up in a silent link must not arrive later as if new.
            if mode in (proxy.Mode.SILENT, proxy.Mode.NO_REPLIES):
                self._testbed.proxies.set(link, proxy.Mode.RESET)
                self._testbed.proxies.set(link, proxy.Mode.CALM)

        return Injected(f"link to {what} {mode.value}", mend)


def _nothing() -> None:
    """End a fault that needs no end."""
