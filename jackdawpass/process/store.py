"""Operators' changes: committed through the head object."""

import collections.abc
import typing
import uuid

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api
from jackdawpass.version import parts

CommitResult = result.Result[parts.Head, errors.PlatformError]


@defer.inlineCallbacks
def commit(
    platform: platform_api.PlatformApi,
    changes: collections.abc.Mapping[str, bytes | None],
) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, CommitResult]:
    """Commit changed parts as one new version.

    Parameters
    ----------
    platform : PlatformApi
        The platform's store.
    changes : mapping of str to bytes or None
        New content of each changed part; None removes the part.

    Returns
    -------
    Result of Head or PlatformError
        VersionConflict when another operator committed first.
    """
    stored = yield platform.read(parts.HEAD_KEY)
    if isinstance(stored, result.Failure):
        if not isinstance(stored.failure(), errors.ObjectMissing):
            return stored
        object_version, head = 0, parts.Head(0, "", "", {})
    else:
        object_version = stored.unwrap().version
        parsed = parts.parse_head(stored.unwrap().value)
        if parsed is None:
            return result.Failure(errors.CorruptObject(parts.HEAD_KEY, "not a head"))
        head = parsed
    named = dict(head.parts)
    for name, content in changes.items():
        if content is None:
            named.pop(name, None)
            continue
        address = parts.chunk_hash(content)
        written = yield platform.create(
            parts.CHUNK_PREFIX + address, msgspec.json.decode(content)
        )
        if isinstance(written, result.Failure) and not isinstance(
            written.failure(), errors.VersionConflict
        ):
            return written
        named[name] = address
    successor = parts.Head(head.version + 1, uuid.uuid4().hex, "", named)
    document = parts.head_document(successor)
    if object_version == 0:
        written = yield platform.create(parts.HEAD_KEY, document)
    else:
        written = yield platform.update(parts.HEAD_KEY, object_version, document)
    return written.map(lambda _: successor)
