"""A caller's request as the gateway serves it, and its outcome."""

import collections.abc
import dataclasses

from jackdawpass.request import model, problems

Outcome = model.Answer | problems.Problem
OnOutcome = collections.abc.Callable[[Outcome], None]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A decoded request of a caller.

    Attributes
    ----------
    request_id : str
        Request id chosen by the caller.
    path : str
        Path without the query string.
    timeout : float
        Seconds that the caller waits.
    encoded : bytes
        Request as it is sent to targets.
    age : float
        Seconds since the request reached the first instance.
    is_repeat : bool
        True if another instance may already be serving the request.
    stops_in : float or None
        Seconds until the instance that answers the caller stops; None if it does not.
    """

    request_id: str
    host: str
    path: str
    timeout: float
    encoded: bytes
    age: float = 0.0
    is_repeat: bool = False
    stops_in: float | None = None
