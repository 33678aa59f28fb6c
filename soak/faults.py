"""Random faults of a run, drawn from its seed; several may be active at once."""

import collections.abc
import dataclasses
import random
import signal
import time

from soak import checks, proxy, testbed

MIN_FAULT_SECONDS = 0.5
MAX_FAULT_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class InjectedFault:
    """An active fault and the function that ends it."""

    name: str
    end: collections.abc.Callable[[], None]


class Injector:
    """Injects faults from outside the processes."""

    def __init__(self, generator: random.Random, running: testbed.Testbed) -> None:
        self._random = generator
        self._testbed = running
        self.drain_periods: list[checks.DrainPeriod] = []
        self._kinds: tuple[collections.abc.Callable[[], InjectedFault], ...] = (
            self.disrupt_target_link,
            self.disrupt_store_link,
            self.fail_store,
            self.drop_store_history,
            self.fail_target,
            self.fail_group,
            self.freeze_front,
            self.kill_front,
            self.stop_front,
            self.publish_configurations,
            self.drain_target,
        )

    def draw(self) -> InjectedFault:
        """Inject a random fault."""
        return self._random.choice(self._kinds)()

    def disrupt_target_link(self) -> InjectedFault:
        """Disrupt the link to one target."""
        name = self._random.choice(sorted(self._testbed.target_links))
        return self._disrupt(self._testbed.target_links[name], f"target {name}")

    def disrupt_store_link(self) -> InjectedFault:
        """Disrupt the link from one front to the store."""
        name = self._random.choice(sorted(self._testbed.store_links))
        return self._disrupt(self._testbed.store_links[name], f"store of {name}")

    def fail_store(self) -> InjectedFault:
        """Make the store silent, slow or refusing for all its clients."""
        faults: dict[str, object] = self._random.choice(
            [{"silent": True}, {"refuse": 503}, {"refuse": 429}, {"delay_ms": 250}]
        )
        store = self._testbed.store
        self._testbed.set_faults(store, **faults)
        return InjectedFault(f"store {faults}", lambda: self._testbed.set_faults(store))

    def drop_store_history(self) -> InjectedFault:
        """Make the store drop its history."""
        self._testbed.forget_history()
        return InjectedFault("history", _do_nothing)

    def fail_target(self) -> InjectedFault:
        """Make one target fail."""
        name = self._random.choice(sorted(self._testbed.targets))
        modes = ["error", "shed", "hang", "reset", "cut", "extra", "unframed"]
        mode = self._random.choice(modes)
        target = self._testbed.targets[name]
        self._testbed.set_faults(target, mode=mode)
        return InjectedFault(f"{name} {mode}", lambda: self._testbed.set_faults(target))

    def fail_group(self) -> InjectedFault:
        """Make all targets of one group fail, so that answers are partial at best."""
        group = self._random.choice(testbed.GROUPS)
        mode = self._random.choice(["error", "hang", "reset", "cut"])
        members = [t for n, t in self._testbed.targets.items() if n.startswith(group)]
        for target in members:
            self._testbed.set_faults(target, mode=mode)

        def restore() -> None:
            for target in members:
                self._testbed.set_faults(target)

        return InjectedFault(f"{group} {mode}", restore)

    def freeze_front(self) -> InjectedFault:
        """Suspend one front; its process resumes when the fault ends."""
        name = self._random.choice(sorted(self._testbed.fronts))
        front = self._testbed.fronts[name]
        front.signal(signal.SIGSTOP)
        return InjectedFault(f"freeze {name}", lambda: front.signal(signal.SIGCONT))

    def kill_front(self) -> InjectedFault:
        """Kill one front; it restarts when the fault ends."""
        name = self._random.choice(sorted(self._testbed.fronts))
        front = self._testbed.fronts[name]
        front.signal(signal.SIGKILL)
        return InjectedFault(f"kill {name}", front.restart)

    def stop_front(self) -> InjectedFault:
        """Stop one front with SIGTERM; it restarts when the fault ends."""
        name = self._random.choice(sorted(self._testbed.fronts))
        front = self._testbed.fronts[name]
        front.signal(signal.SIGTERM)
        return InjectedFault(f"stop {name}", front.restart)

    def publish_configurations(self) -> InjectedFault:
        """Publish one to four versions of the configuration in a row."""
        for _ in range(self._random.randint(1, 4)):
            self._testbed.publish_next_version()
        return InjectedFault("configuration", _do_nothing)

    def drain_target(self) -> InjectedFault:
        """Drain one target; it returns as a new incarnation when the fault ends."""
        name = self._random.choice(sorted(self._testbed.targets))
        self._testbed.write_target_entry(name, state="draining")
        born = round(time.time() * 1000)

        def restore() -> None:
            self._testbed.write_target_entry(name, state="ready", born=born)

        return InjectedFault(f"leave {name}", restore)

    def _disrupt(self, link: proxy.Link, link_name: str) -> InjectedFault:
        modes = [mode for mode in proxy.Mode if mode is not proxy.Mode.CALM]
        mode = self._random.choice(modes)
        self._testbed.proxies.set_mode(link, mode)

        def restore() -> None:
            self._testbed.proxies.set_mode(link, proxy.Mode.CALM)
            # Closes the connections, so that no delayed bytes arrive after the fault.
            if mode in (proxy.Mode.SILENT, proxy.Mode.NO_REPLIES):
                self._testbed.proxies.set_mode(link, proxy.Mode.RESET)
                self._testbed.proxies.set_mode(link, proxy.Mode.CALM)

        return InjectedFault(f"link to {link_name} {mode.value}", restore)


def _do_nothing() -> None:
    """Do nothing: some faults need no action to end."""
