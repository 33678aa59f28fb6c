"""Load generator processes of a round, with their reports merged."""

import collections.abc
import typing

import msgspec

from jackdawpass.bench import layout, load, measure, processes, schedule

RESULT_LIMIT = 10


class Generators:
    """The load generators of one round, each with an equal share of its rate.

    Parameters
    ----------
    sizes : Layout
        Sizes of the experiment.
    phases : sequence of Phase
        Total rate over time.
    addresses : list of int
        Ports of the entry instances.
    seed : int
        Seeds the arrival times.
    start_at : float
        Monotonic time at which the load starts.
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
        process_phases = [
            schedule.Phase(each.seconds, each.rate / count) for each in phases
        ]
        body = {
            "query": "offers",
            "limit": RESULT_LIMIT,
            "timeout_ms": sizes.timeout_ms,
        }
        self._processes = []
        self._busy_share = 0.0
        for number in range(count):
            process = processes.start("jackdawpass.bench.load")
            self._processes.append(process)
            task = load.Task(
                addresses=addresses,
                path=f"/v1/services/{layout.SERVICE}/query",
                body=msgspec.json.encode(body).decode(),
                seed=seed * 100 + number,
                phases=process_phases,
                start_at=start_at,
                timeout_ms=sizes.timeout_ms,
            )
            self._write(process, task)

    @property
    def busy_share(self) -> float:
        """Share of a core that the busiest process used; set by `finish`."""
        return self._busy_share

    def set_addresses(self, addresses: list[int]) -> None:
        """Send further queries to other entry instances, as a load balancer would."""
        for process in self._processes:
            self._write(process, addresses)

    def finish(self) -> load.Record:
        """Wait until all queries have ended and return their merged record."""
        records = []
        for process in self._processes:
            assert process.stdout is not None
            line = process.stdout.readline()
            records.append(msgspec.json.decode(line, type=load.Report))
        self.close()
        self._busy_share = max(each.busy_share for each in records)
        return measure.join(records)

    def close(self) -> None:
        """Kill the processes that still run."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.communicate()

    @staticmethod
    def _write(process: typing.Any, message: object) -> None:
        process.stdin.write(msgspec.json.encode(message).decode() + "\n")
        process.stdin.flush()
