"""Checks that the tests of each guarantee fail when the code violates it.

Run with ``python -m tests.mutations``. Each mutation is applied to a temporary copy of
the tree, in which its test must fail.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile

from tests import front_mutations, mutation

ROOT = pathlib.Path(__file__).parent.parent
TEST_TIMEOUT_SECONDS = 180.0


PRODUCT = (
    mutation.Mutation(
        "one snapshot",
        "jackdawpass/request/fanout.py",
        "if reply.snapshot != self._plan.snapshot:",
        "if False:",
        "tests/failures/test_one_snapshot.py",
    ),
    mutation.Mutation(
        "one snapshot",
        "jackdawpass/request/fanout.py",
        "self._merge = self._make_merge(pinned.shards)",
        "pass",
        "tests/request/test_fanout.py",
    ),
    mutation.Mutation(
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
    mutation.Mutation(
        "no doubled result",
        "jackdawpass/request/merge.py",
        "unique.setdefault(item.item_id, item)",
        "unique[item.item_id + str(len(unique))] = item",
        "tests/failures/test_true_coverage.py",
    ),
    mutation.Mutation(
        "no crossed answers",
        "jackdawpass/connection/dialect.py",
        "return request_id == attempt.request_id and attempt_id == attempt.attempt_id",
        "return True",
        "tests/failures/test_no_crossed_answers.py",
    ),
    mutation.Mutation(
        "not_run is truth",
        "jackdawpass/request/fanout.py",
        "if not self._may_have_run:",
        "if True:",
        "tests/failures/test_not_run.py",
    ),
    mutation.Mutation(
        "not_run is truth",
        "jackdawpass/request/runner.py",
        "if not self._cancels_pending_send(action):",
        "if True:",
        "tests/request/test_runner.py",
    ),
    mutation.Mutation(
        "at most once",
        "jackdawpass/request/single_run.py",
        "if failure.execution is model.Execution.MAY_HAVE_RUN:",
        "if False:",
        "tests/failures/test_at_most_once.py",
    ),
    mutation.Mutation(
        "at most once",
        "jackdawpass/request/claims.py",
        "if content.writer == requested.writer:",
        "if True:",
        "tests/failures/test_at_most_once.py",
    ),
    mutation.Mutation(
        "a commit is told truly",
        "jackdawpass/process/commits.py",
        "self._uncertain = True",
        "pass",
        "tests/specs/test_commit_conformance.py",
    ),
    mutation.Mutation(
        "a commit is told truly",
        "jackdawpass/process/commits.py",
        "if found.unwrap().writer == self._writer:",
        "if True:",
        "tests/specs/test_commit_conformance.py",
    ),
    mutation.Mutation(
        "a commit is told truly",
        "jackdawpass/process/commits.py",
        "if not self._uncertain or self._last_tried is None:",
        "if True:",
        "tests/specs/test_commit_conformance.py",
    ),
    mutation.Mutation(
        "a commit is told truly",
        "jackdawpass/process/commits.py",
        "            return found\n        self._uncertain = False",
        "            return found",
        "tests/specs/test_commit_conformance.py",
    ),
    mutation.Mutation(
        "a commit is told truly",
        "jackdawpass/process/commits.py",
        "        if self._uncertain:\n            return self._as_uncertain(reason)\n",
        "",
        "tests/specs/test_commit_conformance.py",
    ),
    mutation.Mutation(
        "at most once",
        "jackdawpass/request/claims.py",
        "if content.writer == requested.writer:",
        "if True:",
        "tests/specs/test_claim_conformance.py",
    ),
    mutation.Mutation(
        "no work for a leaving target",
        "jackdawpass/process/replicas.py",
        "if leaving and not self._listed_leaving:\n            self._drain(now)",
        "if leaving and not self._listed_leaving:\n            pass",
        "tests/failures/test_leaving_target.py",
    ),
    mutation.Mutation(
        "no work for a leaving target",
        "jackdawpass/process/replicas.py",
        "if failure.kind is model.FailureKind.DRAINING:\n            self._drain(now)",
        "if failure.kind is model.FailureKind.DRAINING:\n            pass",
        "tests/failures/test_leaving_target.py",
    ),
    mutation.Mutation(
        "graceful stop",
        "jackdawpass/process/drain.py",
        "if connection not in busy:",
        "if True:",
        "tests/process/test_drain.py",
    ),
    mutation.Mutation(
        "never reverts",
        "jackdawpass/process/distribution.py",
        "if head.version <= max(self.version, pending_version):",
        "if False:",
        "tests/process/test_distribution.py",
        (
            ("if update.version <= self.version:", "if False:"),
            ("if head.version <= self.version:", "if False:"),
        ),
    ),
    mutation.Mutation(
        "not run is truth over repeats",
        "jackdawpass/request/claims.py",
        "return result.Failure(_unclaimed() if is_absent else unconfirmed())",
        "return result.Failure(_unclaimed())",
        "tests/request/test_claims.py",
    ),
    mutation.Mutation(
        "connection limit",
        "jackdawpass/process/shares.py",
        "limit // max(1, instances_max, instances_seen)",
        "limit // max(1, instances_seen)",
        "tests/process/test_shares.py",
    ),
    mutation.Mutation(
        "one accepted order",
        "jackdawpass/process/commits.py",
        "if found.unwrap().writer == self._writer:",
        "if False:",
        "tests/process/test_commits.py",
    ),
)
MUTATIONS = PRODUCT + front_mutations.FRONT


def main() -> int:
    """Apply each mutation and return 1 if any is not detected by its test."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", default="", help="run only guarantees that contain this text"
    )
    arguments = parser.parse_args()
    chosen = [each for each in MUTATIONS if arguments.only in each.guarantee]
    survivors = [each for each in chosen if not _is_caught(each)]
    print(f"{len(chosen) - len(survivors)} of {len(chosen)} mutations are caught")
    return 1 if survivors else 0


def _is_caught(faulty: mutation.Mutation) -> bool:
    with tempfile.TemporaryDirectory() as directory:
        copy = pathlib.Path(directory) / "tree"
        ignored = shutil.ignore_patterns(
            ".git", ".venv", ".*_cache", "__pycache__", "journal", "target"
        )
        shutil.copytree(ROOT, copy, ignore=ignored)
        _apply(faulty, copy / faulty.path)
        command = [sys.executable, "-m", "pytest", "-x", "-q", faulty.test]
        done = subprocess.run(
            command,
            cwd=copy,
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_SECONDS,
        )
    caught = done.returncode == 1
    state = "caught" if caught else f"NOT CAUGHT (pytest ended with {done.returncode})"
    print(f"{faulty.guarantee}: {faulty.path}: {faulty.test}: {state}", flush=True)
    return caught


def _apply(faulty: mutation.Mutation, path: pathlib.Path) -> None:
    source = path.read_text(encoding="utf-8")
    for old, new in ((faulty.old, faulty.new), *faulty.also):
        if source.count(old) != 1:
            raise SystemExit(f"{faulty.path}: {old!r} does not occur exactly once")
        source = source.replace(old, new)
    path.write_text(source, encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
