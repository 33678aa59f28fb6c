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
    """Replaces one piece of code by a faulty one.

    Attributes
    ----------
    promise : str
        What the faulty code breaks.
    test : str
        Test that must fail, as a pytest node id.
    """

    promise: str
    path: str
    old: str
    new: str
    test: str


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
        "self._merge = merge.Merge(pinned.shards)",
        "pass",
        "tests/request/test_fanout.py",
    ),
    Mutation(
        "true coverage",
        "jackdawpass/request/fanout.py",
        "if shard in reply.shards:\n"
        "                self._merge.add(shard, reply.shards[shard])",
        "self._merge.add(shard, reply.shards.get(shard, ()))",
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
        ignored = shutil.ignore_patterns(".git", ".venv", ".*_cache", "__pycache__")
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
    if source.count(mutation.old) != 1:
        raise SystemExit(f"{mutation.path}: {mutation.old!r} is not there exactly once")
    path.write_text(source.replace(mutation.old, mutation.new), encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
