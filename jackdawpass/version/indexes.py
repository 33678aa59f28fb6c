"""Index documents: a published snapshot of a service with its shard map."""

import collections.abc
import dataclasses

import cattrs
from returns import result

from jackdawpass import errors, validation
from jackdawpass.version import schema

MAX_SHOWN_SHARDS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class IndexDocument:
    """A published snapshot with its shard map, as operators write it.

    Attributes
    ----------
    snapshot : str
        Name of the snapshot that the targets hold.
    shards : int
        Number of shards of the snapshot.
    placement : mapping of str to list of int
        Shards that each target holds, numbered from 0 to the number of shards minus 1.
    """

    snapshot: str
    shards: int
    placement: dict[str, list[int]]


RANGES = validation.Ranges(
    {(IndexDocument, "shards"): validation.Range(1, schema.MAX_SHARDS)}
)

ParsedIndex = result.Result[IndexDocument, errors.InvalidConfiguration]


def index_origin(service: str) -> str:
    """Return the origin of faults in a service's index document."""
    return f"index {service}"


def parse_index(document: object, service: str) -> ParsedIndex:
    """Validate and parse an index document; `service` is used in messages."""
    faults = validation.validate(document, IndexDocument, RANGES)
    if not faults:
        index = cattrs.structure(document, IndexDocument)
        faults = tuple(_placement_faults(index))
    if faults:
        faults_with_origin = tuple(_with_origin(fault, service) for fault in faults)
        return result.Failure(errors.InvalidConfiguration(faults_with_origin))
    return result.Success(index)


def cross_check(
    index: IndexDocument, service: str, targets: collections.abc.Set[str] | None
) -> tuple[errors.Fault, ...]:
    """Return the faults of an index document in relation to the configuration.

    Parameters
    ----------
    index : IndexDocument
        A document without faults of its own.
    service : str
        Service that the index belongs to.
    targets : set of str or None
        Targets that the base or an overlay declares for the service; None if the
        service is not declared.
    """
    if targets is None:
        fault = errors.Fault(
            f"services.{service}", "is not declared", "declare the service in the base"
        )
        return (_with_origin(fault, service),)
    faults = (*_unknown_targets(index, targets), *_unplaced_shards(index))
    return tuple(_with_origin(fault, service) for fault in faults)


def _with_origin(fault: errors.Fault, service: str) -> errors.Fault:
    return dataclasses.replace(fault, origin=index_origin(service))


def _placement_faults(
    index: IndexDocument,
) -> collections.abc.Iterator[errors.Fault]:
    for target, shards in index.placement.items():
        path = f"placement.{target}"
        unknown = sorted(
            shard for shard in set(shards) if not 0 <= shard < index.shards
        )
        if unknown:
            remedy = f"place only shards 0 to {index.shards - 1}"
            yield errors.Fault(
                path, f"places unknown shards {_format_shards(unknown)}", remedy
            )
        if len(set(shards)) < len(shards):
            remedy = "name each shard once per target"
            yield errors.Fault(path, "names a shard more than once", remedy)


def _unknown_targets(
    index: IndexDocument, targets: collections.abc.Set[str]
) -> collections.abc.Iterator[errors.Fault]:
    for target in sorted(index.placement.keys() - targets):
        yield errors.Fault(
            f"placement.{target}",
            "is not a declared target of the service",
            "declare the target or publish an index without it",
        )


def _unplaced_shards(
    index: IndexDocument,
) -> collections.abc.Iterator[errors.Fault]:
    placed = {shard for shards in index.placement.values() for shard in shards}
    unplaced = sorted(set(range(index.shards)) - placed)
    if unplaced:
        remedy = "place each shard on at least one target"
        yield errors.Fault(
            "placement", f"places shards {_format_shards(unplaced)} nowhere", remedy
        )


def _format_shards(shards: list[int]) -> str:
    shown = ", ".join(str(shard) for shard in shards[:MAX_SHOWN_SHARDS])
    more = len(shards) - MAX_SHOWN_SHARDS
    return f"{shown} and {more} more" if more > 0 else shown
