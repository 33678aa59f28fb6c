"""Starts load generator processes and collects their records."""

import collections.abc
import typing

import msgspec

from jackdawpass.bench import layout, load, measure, processes, schedule

LIMIT = 10


class Generators:
    """The load generators of one round, which share its rate.

    Parameters
    ----------
    sizes : Layout
        Sizes of the experiment.
    phases : sequence of Phase
        Total rate over time.
    addresses : list of int
        Ports of the entry instances.
    start_at : float
        Monotonic time of the start.
    """

    def __init__(
        self,
        sizes: layout.Layout,
        phases: collections.abc.Sequence[schedule.Phase],
        addresses: list[int],
        seed: int,
        start_at: float,
    ) -> None:
        count = sizes.generators
        shared = [schedule.Phase(each.seconds, each.rate / count) for each in phases]
        body = {"query": "offers", "limit": LIMIT, "timeout_ms": sizes.timeout_ms}
        self._running = []
        self._busy_share = 0.0
        for number in range(count):
            process = processes.start("jackdawpass.bench.load")
            self._running.append(process)
            task = load.Task(
                addresses=addresses,
                path=f"/v1/services/{layout.SERVICE}/query",
                body=msgspec.json.encode(body).decode(),
                seed=seed * 100 + number,
                phases=shared,
                start_at=start_at,
                timeout_ms=sizes.timeout_ms,
            )
            self._write(process, task)

    @property
    def busy_share(self) -> float:
        """Share of a core that the busiest process used; known after `finish`."""
        return self._busy_share

    def set_addresses(self, addresses: list[int]) -> None:
        """Use other entry instances from now on, as a load balancer would."""
        for process in self._running:
            self._write(process, addresses)

    def finish(self) -> load.Record:
        """Wait for the end and return the joined record."""
        records = []
        for process in self._running:
            assert process.stdout is not None
            line = process.stdout.readline()
            records.append(msgspec.json.decode(line, type=load.Report))
        self.close()
        self._busy_share = max(each.busy_share for each in records)
        return measure.join(records)

    def close(self) -> None:
        """End the processes."""
        for process in self._running:
            if process.poll() is None:
                process.kill()
            process.communicate()

    @staticmethod
    def _write(process: typing.Any, message: object) -> None:
        process.stdin.write(msgspec.json.encode(message).decode() + "\n")
        process.stdin.flush()
