"""Application of what targets say about themselves in their replies."""

import collections.abc
import typing

from jackdawpass.connection import dialect
from jackdawpass.process import logs
from jackdawpass.process.serving import targets
from jackdawpass.request import model

_logger = logs.get_logger(__name__)

OnNotices = collections.abc.Callable[
    [float, collections.abc.Iterable[model.TargetNotice]], None
]


class Wire(dialect.TargetDialect, typing.Protocol):
    """Dialect whose replies may contain notices."""

    def decode_notices(
        self, target: str, started: int, reply: dialect.HttpReply
    ) -> tuple[model.TargetNotice, ...]:
        """Return the notices in a reply from an incarnation of a target."""


class NoticeBoard:
    """Receiver of the notices in all replies, and source of those for other instances.

    Parameters
    ----------
    listed_targets : Targets
        The listed targets.
    release_unsent : callable
        Called with the name of a target that leaves or pauses: attempts that wait for
        one of its connections go elsewhere. Returns their number.
    """

    def __init__(
        self,
        listed_targets: targets.Targets,
        release_unsent: collections.abc.Callable[[str], int],
    ) -> None:
        self._targets = listed_targets
        self._release_unsent = release_unsent

    def on_notices(
        self, now: float, notices: collections.abc.Iterable[model.TargetNotice]
    ) -> None:
        """Apply the notices of a reply."""
        for notice in notices:
            name, started = notice.target, notice.started
            if notice.leaving and self._targets.on_leaving(now, name, started):
                self._on_first_announcement(now, notice)
            if notice.pause is not None and self._targets.on_pause(
                now, name, started, notice.pause
            ):
                self._on_pause(notice)

    def heard_since(self, now: float, at: float) -> tuple[model.TargetNotice, ...]:
        """Return the notices received since a time, for another instance."""
        return (
            *self._targets.announcements.heard_since(at),
            *self._targets.pauses.heard_since(now, at),
        )

    def _on_pause(self, notice: model.TargetNotice) -> None:
        moved = self._release_unsent(notice.target)
        _logger.info(
            "target_pauses", target=notice.target, seconds=notice.pause, moved=moved
        )

    def _on_first_announcement(self, now: float, notice: model.TargetNotice) -> None:
        moved = 0
        if self._targets.has_alternative(now, notice.target):
            moved = self._release_unsent(notice.target)
        _logger.info(
            "target_leaves", target=notice.target, started=notice.started, moved=moved
        )
