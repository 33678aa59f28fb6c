"""Mutations of the front process on the platform."""

from tests import mutation

FRONT = (
    mutation.Mutation(
        "front: no crossed answers",
        "jackdawpass/platform/target_dialect.py",
        "return None if request_id is None else request_id == "
        "attempt.request_id.encode()",
        "return True",
        "tests/platform/test_target_dialect.py",
    ),
    mutation.Mutation(
        "front: no answer from an unidentified copy",
        "jackdawpass/connection/http_connection.py",
        "            is_own = self._exchange_count == 1\n",
        "            is_own = True\n",
        "tests/connection/test_http_connection.py",
    ),
    mutation.Mutation(
        "front: a silent aggregator may still answer",
        "jackdawpass/process/serving/forwarded_request.py",
        '            self._repeat("silent", link)',
        "            self._finish(_LOST_ANSWER)",
        "tests/process/serving/test_forwarding.py",
    ),
    mutation.Mutation(
        "front: what runs once is not forwarded again",
        "jackdawpass/process/serving/forwarded_repeats.py",
        "    if not route.idempotent:\n",
        "    if False:\n",
        "tests/process/serving/test_forwarded_repeats.py",
    ),
    mutation.Mutation(
        "front: the last callers accepted are answered",
        "jackdawpass/process/serving/shutdown.py",
        "        if busy or now < self._listened_until + RECENT_SECONDS:\n",
        "        if busy:\n",
        "tests/process/serving/test_shutdown.py",
    ),
    mutation.Mutation(
        "front: late answers beside full targets are an overload",
        "jackdawpass/process/serving/throttle.py",
        "        if _is_overload(outcome) or (is_late and is_target_full):",
        "        if _is_overload(outcome):",
        "tests/process/serving/test_throttle.py",
    ),
    mutation.Mutation(
        "front: no request for another target",
        "jackdawpass/platform/target_dialect.py",
        "            headers.EXPECTED_TARGET,\n",
        '            b"x-nothing",\n',
        "tests/platform/test_front_process.py",
    ),
    mutation.Mutation(
        "front: not run is truth",
        "jackdawpass/platform/callers.py",
        "return 502 if problem.status == 503 else problem.status",
        "return problem.status",
        "tests/platform/test_callers.py",
    ),
    mutation.Mutation(
        "front: no doubled shard",
        "jackdawpass/request/merge.py",
        "if shard not in self._uncovered:\n            return False\n"
        "        self._uncovered.remove(shard)",
        "self._uncovered.discard(shard)",
        "tests/request/test_records.py",
    ),
    mutation.Mutation(
        "front: leaving target",
        "jackdawpass/process/serving/targets.py",
        "return not self.listed.leaving and now >= self._misdirected_until",
        "return now >= self._misdirected_until",
        "tests/platform/test_front_process.py",
    ),
    mutation.Mutation(
        "front: version never reverts",
        "jackdawpass/process/serving/gateway.py",
        "if self._table is not None and table.version <= self._table.version:",
        "if False:",
        "tests/platform/test_front_process.py",
    ),
    mutation.Mutation(
        "front: version never reverts over aggregators",
        "jackdawpass/process/serving/handlers.py",
        "return self._instance.synced and self.report.version >= seen",
        "return self._instance.synced",
        "tests/process/serving/test_handlers.py",
    ),
    mutation.Mutation(
        "front: in force after a swallowed watch",
        "jackdawpass/process/serving/store_watcher.py",
        "        self.refresh()\n",
        "        pass\n",
        "tests/platform/test_front_process.py",
    ),
    mutation.Mutation(
        "front: in force after a cut watch",
        "jackdawpass/process/serving/mirror.py",
        "        self._failures += 1\n        self._revision = None\n",
        "        self._failures += 1\n",
        "tests/process/serving/test_mirror.py",
    ),
    mutation.Mutation(
        "front: callers who leave",
        "jackdawpass/connection/ingress.py",
        "        if current is not None:\n            current.caller_gone()\n",
        "",
        "tests/platform/test_front_process.py",
    ),
    mutation.Mutation(
        "front: budget of all instances",
        "jackdawpass/process/serving/repeats.py",
        "self.limits.slack / max(1, instances)",
        "self.limits.slack",
        "tests/process/serving/test_repeats.py",
    ),
    mutation.Mutation(
        "front: graceful stop",
        "jackdawpass/process/serving/shutdown.py",
        "return Step.CLOSE_IDLE if busy else Step.EXIT",
        "return Step.EXIT",
        "tests/process/serving/test_shutdown.py",
    ),
    mutation.Mutation(
        "front: lost aggregators",
        "jackdawpass/process/serving/forwarding.py",
        "        for request in list(self.forwarded):\n"
        "            request.on_aggregator_lost()\n",
        "",
        "tests/process/serving/test_forwarding.py",
    ),
    mutation.Mutation(
        "front: records of a subquery once",
        "jackdawpass/request/records.py",
        "        was_uncovered = shard in self._uncovered\n",
        "        if shard not in self._uncovered:\n            return False\n"
        "        was_uncovered = True\n",
        "tests/request/test_records.py",
    ),
    mutation.Mutation(
        "front: subquery of the same shards",
        "jackdawpass/process/serving/gateway.py",
        " or route.shard_set != subquery.shard_set:",
        ":",
        "tests/process/serving/test_gateway.py",
    ),
    mutation.Mutation(
        "front: subquery that nobody took",
        "jackdawpass/request/fanout.py",
        "        if self._plan.hedge_from_start:\n"
        "            self._plan_hedge(now, attempt)\n",
        "",
        "tests/request/test_fanout_subqueries.py",
    ),
    mutation.Mutation(
        "front: stale aggregators",
        "jackdawpass/process/serving/handlers.py",
        "        elif self._instance.stale:\n"
        "            state = peer_wire.State.STALE\n",
        "",
        "tests/process/serving/test_handlers.py",
    ),
    mutation.Mutation(
        "soak: right records",
        "jackdawpass/request/records.py",
        "heapq.nlargest(",
        "heapq.nsmallest(",
        "tests/soak/test_run.py",
    ),
    mutation.Mutation(
        "soak: true coverage",
        "jackdawpass/platform/callers.py",
        "missing = coverage.shards - coverage.covered",
        "missing = 0",
        "tests/soak/test_run.py",
    ),
    mutation.Mutation(
        "soak: runs at most once",
        "jackdawpass/request/single_run.py",
        "if failure.execution is model.Execution.MAY_HAVE_RUN:",
        "if False:",
        "tests/soak/test_run.py",
    ),
    mutation.Mutation(
        "soak: no work for a target that left",
        "jackdawpass/process/serving/targets.py",
        "return not self.listed.leaving and now >= self._misdirected_until",
        "return now >= self._misdirected_until",
        "tests/soak/test_run.py",
    ),
    mutation.Mutation(
        "soak: recovery",
        "jackdawpass/process/serving/store_watcher.py",
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
