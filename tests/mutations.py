"""Shows that the tests of each promise fail when the code breaks it.

Run with ``python -m tests.mutations``. Each mutation is applied to a copy of the tree
in a temporary directory, where its test must fail.
"""

import argparse
import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
TEST_TIMEOUT_SECONDS = 180.0


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Replaces pieces of one module by faulty ones.

    Attributes
    ----------
    promise : str
        What the faulty code breaks.
    old, new : str
        Code that stands exactly once in the module, and its replacement.
    test : str
        Test that must fail, as a pytest node id.
    also : tuple of (str, str)
        Further replacements, for checks that back each other up.
    """

    promise: str
    path: str
    old: str
    new: str
    test: str
    also: tuple[tuple[str, str], ...] = ()


MUTATIONS = (
    Mutation(
        "one snapshot",
        "jackdawpass/request/fanout.py",
        "if reply.snapshot != self._plan.snapshot:",
        "if False:",
        "tests/failures/test_one_snapshot.py",
    ),
    Mutation(
        "one snapshot",
        "jackdawpass/request/fanout.py",
        "self._merge = self._merger(pinned.shards)",
        "pass",
        "tests/request/test_fanout.py",
    ),
    Mutation(
        "true coverage",
        "jackdawpass/request/fanout.py",
        "covered = attempt.shards & reply.shards.keys()\n"
        "        for shard in covered:\n"
        "            self._merge.add(shard, reply.shards[shard])",
        "covered = attempt.shards\n"
        "        for shard in covered:\n"
        "            self._merge.add(shard, reply.shards.get(shard, ()))",
        "tests/request/test_fanout.py",
    ),
    Mutation(
        "no doubled result",
        "jackdawpass/request/merge.py",
        "unique.setdefault(item.item_id, item)",
        "unique[item.item_id + str(len(unique))] = item",
        "tests/failures/test_true_coverage.py",
    ),
    Mutation(
        "no crossed answers",
        "jackdawpass/connection/dialect.py",
        "return request_id == attempt.request_id and attempt_id == attempt.attempt_id",
        "return True",
        "tests/failures/test_no_crossed_answers.py",
    ),
    Mutation(
        "not_run is truth",
        "jackdawpass/request/fanout.py",
        "if not self._may_have_run:",
        "if True:",
        "tests/failures/test_not_run.py",
    ),
    Mutation(
        "not_run is truth",
        "jackdawpass/request/runner.py",
        "if not self._withdraws_send(action):",
        "if True:",
        "tests/request/test_runner.py",
    ),
    Mutation(
        "at most once",
        "jackdawpass/request/single_run.py",
        "if failure.execution is model.Execution.MAY_HAVE_RUN:",
        "if False:",
        "tests/failures/test_at_most_once.py",
    ),
    Mutation(
        "at most once",
        "jackdawpass/request/claims.py",
        "if content.writer == wanted.writer:",
        "if True:",
        "tests/failures/test_at_most_once.py",
    ),
    Mutation(
        "a commit is told truly",
        "jackdawpass/process/store.py",
        "self._uncertain = True",
        "pass",
        "tests/specs/test_commit_conformance.py",
    ),
    Mutation(
        "a commit is told truly",
        "jackdawpass/process/store.py",
        "if found.unwrap().writer == self._writer:",
        "if True:",
        "tests/specs/test_commit_conformance.py",
    ),
    Mutation(
        "a commit is told truly",
        "jackdawpass/process/store.py",
        "if not self._uncertain or self._tried is None:",
        "if True:",
        "tests/specs/test_commit_conformance.py",
    ),
    Mutation(
        "a commit is told truly",
        "jackdawpass/process/store.py",
        "            return found\n        self._uncertain = False",
        "            return found",
        "tests/specs/test_commit_conformance.py",
    ),
    Mutation(
        "a commit is told truly",
        "jackdawpass/process/store.py",
        "        if self._uncertain:\n            return self._doubt(reason)\n",
        "",
        "tests/specs/test_commit_conformance.py",
    ),
    Mutation(
        "at most once",
        "jackdawpass/request/claims.py",
        "if content.writer == wanted.writer:",
        "if True:",
        "tests/specs/test_claim_conformance.py",
    ),
    Mutation(
        "no work for a leaving target",
        "jackdawpass/process/replicas.py",
        "if leaving and not self._listed_leaving:\n            self._drain(now)",
        "if leaving and not self._listed_leaving:\n            pass",
        "tests/failures/test_leaving_target.py",
    ),
    Mutation(
        "no work for a leaving target",
        "jackdawpass/process/replicas.py",
        "if failure.kind is model.FailureKind.DRAINING:\n            self._drain(now)",
        "if failure.kind is model.FailureKind.DRAINING:\n            pass",
        "tests/failures/test_leaving_target.py",
    ),
    Mutation(
        "graceful stop",
        "jackdawpass/process/drain.py",
        "if connection not in busy:",
        "if True:",
        "tests/process/test_drain.py",
    ),
    Mutation(
        "never reverts",
        "jackdawpass/process/distribution.py",
        "if head.version <= max(self.version, fetching):",
        "if False:",
        "tests/process/test_distribution.py",
        (
            ("if update.version <= self.version:", "if False:"),
            ("if head.version <= self.version:", "if False:"),
        ),
    ),
    Mutation(
        "connection limit",
        "jackdawpass/process/shares.py",
        "limit // max(1, instances_max, seen)",
        "limit // max(1, seen)",
        "tests/process/test_shares.py",
    ),
    Mutation(
        "one accepted order",
        "jackdawpass/process/store.py",
        "if found.unwrap().writer == self._writer:",
        "if False:",
        "tests/process/test_store.py",
    ),
    Mutation(
        "front: no crossed answers",
        "jackdawpass/platform/target_dialect.py",
        "return request_id is None or request_id == attempt.request_id.encode()",
        "return True",
        "tests/platform/test_target_dialect.py",
    ),
    Mutation(
        "front: no request for another target",
        "jackdawpass/platform/target_dialect.py",
        "            headers.ONLY_TARGET,\n",
        '            b"x-nothing",\n',
        "tests/platform/test_front_process.py",
    ),
    Mutation(
        "front: not run is truth",
        "jackdawpass/platform/callers.py",
        "return 502 if problem.status == 503 else problem.status",
        "return problem.status",
        "tests/platform/test_callers.py",
    ),
    Mutation(
        "front: no doubled shard",
        "jackdawpass/request/merge.py",
        "if shard not in self._uncovered:\n            return False\n"
        "        self._uncovered.remove(shard)",
        "self._uncovered.discard(shard)",
        "tests/request/test_records.py",
    ),
    Mutation(
        "front: leaving target",
        "jackdawpass/process/serving/targets.py",
        "return not self.listed.leaving and now >= self._misdirected_until",
        "return now >= self._misdirected_until",
        "tests/platform/test_front_process.py",
    ),
    Mutation(
        "front: version never reverts",
        "jackdawpass/process/serving/gateway.py",
        "if self._table is not None and table.version <= self._table.version:",
        "if False:",
        "tests/platform/test_front_process.py",
    ),
    Mutation(
        "front: version never reverts over aggregators",
        "jackdawpass/process/serving/desk.py",
        "return self._part.own_ready and self.report.version >= seen",
        "return self._part.own_ready",
        "tests/process/serving/test_desk.py",
    ),
    Mutation(
        "front: in force after a swallowed watch",
        "jackdawpass/process/serving/view.py",
        "        self.refresh()\n",
        "        pass\n",
        "tests/platform/test_front_process.py",
    ),
    Mutation(
        "front: in force after a cut watch",
        "jackdawpass/process/serving/mirror.py",
        "        self._failures += 1\n        self._revision = None\n",
        "        self._failures += 1\n",
        "tests/process/serving/test_mirror.py",
    ),
    Mutation(
        "front: callers who leave",
        "jackdawpass/connection/ingress.py",
        "        if current is not None:\n            current.caller_gone()\n",
        "",
        "tests/platform/test_front_process.py",
    ),
    Mutation(
        "front: budget of all instances",
        "jackdawpass/process/serving/repeats.py",
        "self.limits.slack / max(1, instances)",
        "self.limits.slack",
        "tests/process/serving/test_repeats.py",
    ),
    Mutation(
        "front: graceful stop",
        "jackdawpass/process/serving/shutdown.py",
        "return Step.CLOSE_IDLE if busy else Step.EXIT",
        "return Step.EXIT",
        "tests/process/serving/test_shutdown.py",
    ),
    Mutation(
        "front: lost aggregators",
        "jackdawpass/process/serving/delegation.py",
        "        for each in list(self.handed):\n            each.lost()\n",
        "",
        "tests/process/serving/test_delegation.py",
    ),
    Mutation(
        "front: records of a subquery once",
        "jackdawpass/request/records.py",
        "        was_uncovered = shard in self._uncovered\n",
        "        if shard not in self._uncovered:\n            return False\n"
        "        was_uncovered = True\n",
        "tests/request/test_records.py",
    ),
    Mutation(
        "front: subquery of the same shards",
        "jackdawpass/process/serving/gateway.py",
        " or route.shard_set != subquery.shard_set:",
        ":",
        "tests/platform/test_subqueries_process.py",
    ),
    Mutation(
        "front: subquery that nobody took",
        "jackdawpass/request/fanout.py",
        "        if self._plan.hedge_unsent:\n"
        "            self._plan_hedge(now, attempt)\n",
        "",
        "tests/request/test_fanout.py",
    ),
    Mutation(
        "front: stale aggregators",
        "jackdawpass/process/serving/desk.py",
        "        elif self._part.stale:\n            state = peer_wire.State.STALE\n",
        "",
        "tests/process/serving/test_desk.py",
    ),
    Mutation(
        "soak: right records",
        "jackdawpass/request/records.py",
        "heapq.nlargest(",
        "heapq.nsmallest(",
        "tests/soak/test_run.py",
    ),
    Mutation(
        "soak: true coverage",
        "jackdawpass/platform/callers.py",
        "missing = coverage.shards - coverage.covered",
        "missing = 0",
        "tests/soak/test_run.py",
    ),
    Mutation(
        "soak: runs at most once",
        "jackdawpass/request/single_run.py",
        "if failure.execution is model.Execution.MAY_HAVE_RUN:",
        "if False:",
        "tests/soak/test_run.py",
    ),
    Mutation(
        "soak: no work for a target that left",
        "jackdawpass/process/serving/targets.py",
        "return not self.listed.leaving and now >= self._misdirected_until",
        "return now >= self._misdirected_until",
        "tests/soak/test_run.py",
    ),
    Mutation(
        "soak: recovery",
        "jackdawpass/process/serving/view.py",
        "        self.refresh()\n",
        "        pass\n",
        "tests/soak/test_run.py",
        (
            (
                "        self._listener.on_store_back()\n",
                "        pass\n",
            ),
        ),
    ),
)


def main() -> int:
    """Apply each mutation and return 1 if any test passes in spite of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="promises that contain this text")
    arguments = parser.parse_args()
    chosen = [each for each in MUTATIONS if arguments.only in each.promise]
    survivors = [each for each in chosen if not _is_caught(each)]
    print(f"{len(chosen) - len(survivors)} of {len(chosen)} mutations are caught")
    return 1 if survivors else 0


def _is_caught(mutation: Mutation) -> bool:
    with tempfile.TemporaryDirectory() as directory:
        copy = pathlib.Path(directory) / "tree"
        ignored = shutil.ignore_patterns(
            ".git", ".venv", ".*_cache", "__pycache__", "journal", "target"
        )
        shutil.copytree(ROOT, copy, ignore=ignored)
        _apply(mutation, copy / mutation.path)
        command = [sys.executable, "-m", "pytest", "-x", "-q", mutation.test]
        done = subprocess.run(
            command,
            cwd=copy,
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_SECONDS,
        )
    caught = done.returncode == 1
    state = "caught" if caught else f"NOT CAUGHT (pytest ended with {done.returncode})"
    print(f"{mutation.promise}: {mutation.path}: {mutation.test}: {state}", flush=True)
    return caught


def _apply(mutation: Mutation, path: pathlib.Path) -> None:
    source = path.read_text(encoding="utf-8")
    for old, new in ((mutation.old, mutation.new), *mutation.also):
        if source.count(old) != 1:
            raise SystemExit(f"{mutation.path}: {old!r} is not there exactly once")
        source = source.replace(old, new)
    path.write_text(source, encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
