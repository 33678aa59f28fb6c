"""Calls of commands to running instances."""

import http.client

from jackdawpass.commands import console
from jackdawpass.connection import blocking


def call_instance(
    address: console.Address,
    method: str,
    path: str,
    document: object = None,
    headers: blocking.Headers | None = None,
    timeout: float = console.CALL_TIMEOUT_SECONDS,
) -> blocking.HttpReply:
    """Send an HTTP request to an instance; `timeout` is in seconds.

    Raises
    ------
    console.Failed
        If the instance cannot be reached or its reply is not JSON.
    """
    url = f"http://{address}{path}"
    try:
        reply = blocking.call(method, url, document, headers, timeout)
    except (OSError, http.client.HTTPException) as error:
        raise console.Failed(
            f"{address} cannot be reached ({error}); check the address and that the "
            "instance runs"
        ) from None
    try:
        _ = reply.document
    except ValueError:
        raise console.Failed(
            f"{address} did not reply with JSON; check that an entry instance listens "
            "there"
        ) from None
    return reply
