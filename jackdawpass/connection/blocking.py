"""Blocking HTTP calls for commands, tests and experiments without a reactor."""

import collections.abc
import dataclasses
import http.client
import json
import typing
import urllib.parse

TIMEOUT_SECONDS = 20.0

Headers = collections.abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Status, headers and body of a reply."""

    status: int
    headers: Headers
    body: bytes

    @property
    def document(self) -> typing.Any:
        """The decoded JSON body; None when it is empty.

        Raises
        ------
        ValueError
            If the body is not JSON.
        """
        return json.loads(self.body) if self.body else None


def call(
    method: str,
    url: str,
    document: object = None,
    headers: Headers | None = None,
    timeout: float = TIMEOUT_SECONDS,
) -> HttpReply:
    """Make one HTTP call with a JSON body, or without a body if `document` is None.

    Parameters
    ----------
    method, url : str, str
        Method and absolute URL of the call; the scheme is ``http``.
    document : object
        Value to send as JSON.
    headers : mapping of str to str, optional
        Additional headers.
    timeout : float
        Maximum time without progress, in seconds.

    Raises
    ------
    OSError or http.client.HTTPException
        If there is no reply.
    """
    body = None if document is None else json.dumps(document).encode()
    return call_raw(method, url, body, headers, timeout)


def call_raw(
    method: str,
    url: str,
    body: bytes | None,
    headers: Headers | None = None,
    timeout: float = TIMEOUT_SECONDS,
) -> HttpReply:
    """Make one HTTP call with the given body; otherwise like `call`."""
    parsed = urllib.parse.urlsplit(url)
    target = urllib.parse.urlunsplit(("", "", parsed.path or "/", parsed.query, ""))
    # Unlike urllib.request, this reads no proxy from the environment.
    connection = http.client.HTTPConnection(
        parsed.hostname or "", parsed.port, timeout=timeout
    )
    try:
        connection.request(method, target, body, dict(headers or {}))
        reply = connection.getresponse()
        return HttpReply(reply.status, dict(reply.headers), reply.read())
    finally:
        connection.close()
