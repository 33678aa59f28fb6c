"""Recorder of a time line with every kind of event from real processes.

Usage: python -m tests.timeline.record PAGE.html
"""

import concurrent.futures
import pathlib
import signal
import sys
import tempfile
import time
import typing

from jackdawpass import cli
from tests import rig

ZONES = ("a", "b", "c")
SHARDS = 3
WARM_UP_QUERIES = 40
STRAGGLE_MS = 60.0
PAUSE_SECONDS = 0.015
POLICY = {"extra_share": 0.5, "timeout_ms": 500}


class Recording:
    """Two entry instances and three targets, with two replicas of each shard."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._rig = rig.Rig()
        placement = {
            f"lots-{zone}": [shard, (shard + 1) % SHARDS]
            for shard, zone in enumerate(ZONES)
        }
        for zone, shards in zip(ZONES, placement.values(), strict=True):
            self._rig.add_target(f"lots-{zone}", zone=zone, snapshots={"s1": shards})
        settings = self._rig.target_settings({f"lots-{z}": z for z in ZONES})
        self._settings = settings
        self._placement = placement
        self._commit(version=1)
        self._entries = [
            self._rig.add_entry(folder, instance=f"entry-{zone}", zone=zone)
            for zone in ("a", "b")
        ]
        self._threads = concurrent.futures.ThreadPoolExecutor(4)

    @property
    def addresses(self) -> list[str]:
        """Addresses of the entry instances, as HOST:PORT."""
        return [f"127.0.0.1:{entry.port}" for entry in self._entries]

    def warm_up(self) -> None:
        """Send queries so that the instances learn latencies and fill the budgets."""
        for _ in range(WARM_UP_QUERIES):
            for entry in self._entries:
                self._query(entry)

    def induce_events(self) -> None:
        """Cause a straggler, a new version, a killed target and a drain."""
        first, second = self._entries
        self._query_all()
        self._rig.faults(
            self._rig.targets["lots-b"], straggle_share=1.0, straggle_ms=STRAGGLE_MS
        )
        pending = self._threads.submit(self._query, first)
        self._commit(version=2)
        pending.result()
        self._query(second)
        self._rig.faults(self._rig.targets["lots-b"])
        time.sleep(PAUSE_SECONDS)
        self._rig.targets["lots-c"].signal(signal.SIGKILL)
        self._query_all()
        rig.call("POST", second.url + "/v1/drain")
        self._query(first)

    def close(self) -> None:
        """Kill all processes."""
        self._threads.shutdown()
        self._rig.close()

    def _query_all(self) -> None:
        for pending in [self._threads.submit(self._query, e) for e in self._entries]:
            pending.result()

    def _commit(self, version: int) -> None:
        policy: dict[str, typing.Any] = {**POLICY, "limit": 10 + version}
        changes = rig.service_parts(
            "lots", self._settings, self._placement, SHARDS, policy=policy
        )
        self._rig.commit(changes, version=version)

    def _query(self, entry: rig.Process) -> None:
        url = entry.url + "/v1/services/lots/query"
        rig.call("POST", url, {"query": "offers"})


def main() -> int:
    """Record the run and write the page."""
    with tempfile.TemporaryDirectory() as folder:
        recording = Recording(pathlib.Path(folder))
        try:
            recording.warm_up()
            since = str(time.time())
            recording.induce_events()
            live = ["--live", *recording.addresses, "--since", since]
            return cli.main(["timeline", *live, "--html", sys.argv[1]])
        finally:
            recording.close()


if __name__ == "__main__":
    sys.exit(main())
