"""Values shared by the tests of the policy."""

from jackdawpass.request import model
from jackdawpass.version import catalog, schema

_REFUSED = model.Execution.REFUSED_NOT_RUN
CONNECT_FAILED = model.AttemptFailure(
    model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT
)
SHED = model.AttemptFailure(model.FailureKind.SHED, _REFUSED)
DRAINING = model.AttemptFailure(model.FailureKind.DRAINING, _REFUSED)
COLD = model.AttemptFailure(model.FailureKind.COLD, _REFUSED, retry_after=0.5)


def make_attempt(
    attempt_id: int, target: str, service: str = "lots", deadline: float = 5.0
) -> model.Attempt:
    """Return an attempt for shard 0 of snapshot s1."""
    shards, kind = frozenset((0,)), model.AttemptKind.FIRST
    return model.Attempt(
        attempt_id, "r", service, target, shards, "s1", deadline, 10, kind
    )


def make_service(
    placement: dict[int, tuple[str, ...]], policy: schema.PolicySettings | None = None
) -> catalog.Service:
    """Return a service; the first letter of a target's name is its zone."""
    names = {name for replicas in placement.values() for name in replicas}
    targets = {
        name: catalog.Target(name, schema.TargetSettings("127.0.0.1", 1, name[0]))
        for name in sorted(names)
    }
    shard_map = catalog.ShardMap("s1", placement)
    return catalog.Service(
        "lots", policy or schema.PolicySettings(), targets, shard_map
    )
