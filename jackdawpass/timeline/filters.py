"""Filter of the entries of a time line."""

import dataclasses

from jackdawpass.timeline import merge


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Conditions on an entry; an empty or None value matches every entry.

    Attributes
    ----------
    request : str
        Prefix of a request id.
    since, until : float or None
        Inclusive range of corrected times, in seconds since the epoch.
    """

    request: str = ""
    service: str = ""
    instance: str = ""
    target: str = ""
    since: float | None = None
    until: float | None = None

    def matches(self, entry: merge.Entry) -> bool:
        """Return whether an entry satisfies all conditions."""
        event = entry.event
        return (
            event.request_id.startswith(self.request)
            and self.service in ("", event.service)
            and self.instance in ("", event.instance)
            and self.target in ("", event.target)
            and (self.since is None or entry.timestamp >= self.since)
            and (self.until is None or entry.timestamp <= self.until)
        )


def apply(timeline: merge.Timeline, event_filter: Filter) -> merge.Timeline:
    """Return the time line with only the entries that match the filter."""
    matching = tuple(entry for entry in timeline.entries if event_filter.matches(entry))
    return dataclasses.replace(timeline, entries=matching)
