"""Selects entries of a time line."""

import dataclasses

from jackdawpass.timeline import merge


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """What to keep; an empty or None value keeps everything.

    Attributes
    ----------
    request : str
        Beginning of a request id.
    since, until : float or None
        Corrected times in seconds since the epoch, both included.
    """

    request: str = ""
    service: str = ""
    instance: str = ""
    target: str = ""
    since: float | None = None
    until: float | None = None

    def keeps(self, entry: merge.Entry) -> bool:
        """Return whether an entry satisfies every condition."""
        event = entry.event
        return (
            event.request_id.startswith(self.request)
            and self.service in ("", event.service)
            and self.instance in ("", event.instance)
            and self.target in ("", event.target)
            and (self.since is None or entry.at >= self.since)
            and (self.until is None or entry.at <= self.until)
        )


def apply(timeline: merge.Timeline, chosen: Filter) -> merge.Timeline:
    """Return the time line without the entries that the filter does not keep."""
    kept = tuple(entry for entry in timeline.entries if chosen.keeps(entry))
    return dataclasses.replace(timeline, entries=kept)
