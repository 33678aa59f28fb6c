"""Socket options that detect a peer that no longer responds."""

import socket

# TCP keep-alive probes detect idle connections whose peer no longer responds. Probes
# start after KEEP_ALIVE_IDLE_SECONDS of silence, then follow once a second, twice.
KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
# The connection is closed if sent data stays unacknowledged for this time.
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 2000


def apply(handle: socket.socket) -> None:
    """Set keep-alive probes and the timeout of unacknowledged data."""
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
