"""Structured log of the process: sampled JSON lines on standard output."""

import collections
import os
import stat
import typing

import eliot
import msgspec
import xxhash

from jackdawpass import clock

MAX_BUFFER_BYTES = 256 * 1024
# Bounds the memory for decisions about requests that never finish.
MAX_DECISIONS = 100_000
REPORT_SECONDS = 1.0
_HASH_RANGE = 1 << 32


class TokenBucket:
    """Token bucket for log lines whose number of tokens may become negative.

    All lines of a sampled request are logged, also when they exceed the available
    tokens. No further request is sampled until the bucket holds a token again.
    """

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._refilled_at: float | None = None

    def available(self, now: float) -> bool:
        """Return whether at least one token is available."""
        elapsed = (
            0.0 if self._refilled_at is None else max(0.0, now - self._refilled_at)
        )
        self._refilled_at = now
        refilled = self._tokens + elapsed * self._per_second
        self._tokens = min(self._per_second, refilled)
        return self._tokens >= 1

    def take(self) -> None:
        """Take one token."""
        self._tokens -= 1


class Sampler:
    """Sampler that decides which log lines are written.

    Parameters
    ----------
    share : float
        Fraction of requests that is sampled, from 0 to 1, by the hash of their id.
    lines_per_second : float
        Average rate of lines about sampled requests.
    errors_per_second : float
        Average rate of other error lines and of lines that belong to no request.
    """

    def __init__(
        self, share: float, lines_per_second: float, errors_per_second: float
    ) -> None:
        self._threshold = share * _HASH_RANGE
        self._line_bucket = TokenBucket(lines_per_second)
        self._error_bucket = TokenBucket(errors_per_second)
        self._decisions: collections.OrderedDict[str, bool] = collections.OrderedDict()
        self._dropped: collections.Counter[str] = collections.Counter()

    def admit(self, now: float, request_id: str, error: bool) -> bool:
        """Return whether to write a line; the decision is the same for a request."""
        if request_id and self._sampled(now, request_id):
            self._line_bucket.take()
            return True
        if (error or not request_id) and self._error_bucket.available(now):
            self._error_bucket.take()
            return True
        self._dropped["error" if error else "info"] += 1
        return False

    def forget(self, request_id: str) -> None:
        """Remove the decision about a finished request."""
        self._decisions.pop(request_id, None)

    def take_dropped(self) -> dict[str, int]:
        """Return and reset the numbers of dropped lines by level."""
        dropped = dict(self._dropped)
        self._dropped.clear()
        return dropped

    def _sampled(self, now: float, request_id: str) -> bool:
        decision = self._decisions.get(request_id)
        if decision is None:
            selected = xxhash.xxh32_intdigest(request_id.encode()) < self._threshold
            decision = selected and self._line_bucket.available(now)
            self._decisions[request_id] = decision
            if len(self._decisions) > MAX_DECISIONS:
                self._decisions.popitem(last=False)
        return decision


class LineWriter:
    """Non-blocking writer of lines to a file descriptor.

    A blocking one would stop the event loop if the reader of a pipe is slow. Lines
    that do not fit into the buffer are dropped and counted.

    Attributes
    ----------
    paused : bool
        True while lines are only buffered, so that other output is printed first.
    """

    def __init__(self, descriptor: int) -> None:
        self.paused = False
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write one message as a line of JSON."""
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self.flush()
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        if self.paused:
            return
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the descriptor, and there is no other log.
            self._buffer.clear()

    def take_dropped(self) -> int:
        """Return and reset the number of lines dropped because of a slow reader."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class Log:
    """The log of one process.

    Parameters
    ----------
    writer : LineWriter
        Writes the lines.
    sampler : Sampler
        Limits the number of lines.
    instance, zone : str
        Added to every line.
    """

    def __init__(
        self, writer: LineWriter, sampler: Sampler, instance: str, zone: str
    ) -> None:
        self._writer = writer
        self._sampler = sampler
        self._fields = {"instance": instance, "zone": zone}
        self._reported_at = 0.0
        self.configuration_version = 0

    def write(
        self,
        now: float,
        message_type: str,
        level: str,
        request_id: str,
        fields: dict[str, typing.Any],
    ) -> None:
        """Write a line if the sampler admits it."""
        if not self._sampler.admit(now, request_id, level == "error"):
            return
        if request_id:
            fields["request_id"] = request_id
        self._emit(message_type, level=level, **fields)

    def pause(self) -> None:
        """Buffer lines without writing them."""
        self._writer.paused = True

    def resume(self) -> None:
        """Write the buffered lines and all later ones."""
        self._writer.paused = False
        self._writer.flush()

    def finish_request(self, request_id: str) -> None:
        """Remove the sampling decision about a request."""
        self._sampler.forget(request_id)

    def tick(self, now: float) -> None:
        """Flush, and log the numbers of dropped lines at most once a second."""
        self._writer.flush()
        if now - self._reported_at < REPORT_SECONDS:
            return
        self._reported_at = now
        dropped = self._sampler.take_dropped()
        slow_reader = self._writer.take_dropped()
        if slow_reader:
            dropped["slow_reader"] = slow_reader
        if dropped:
            self._emit("log_lines_dropped", logger=__name__, dropped=dropped)

    def _emit(self, message_type: str, **fields: typing.Any) -> None:
        eliot.log_message(
            message_type,
            configuration_version=self.configuration_version,
            **self._fields,
            **fields,
        )


class ModuleLogger:
    """Logger of one module; drops all lines until `configure` is called."""

    def __init__(self, name: str) -> None:
        self._name = name

    def info(
        self, message_type: str, request_id: str = "", **fields: typing.Any
    ) -> None:
        """Log an event of normal operation."""
        self._write(message_type, "info", request_id, fields)

    def error(
        self, message_type: str, request_id: str = "", **fields: typing.Any
    ) -> None:
        """Log a failure, up to a rate limit also if its request is not sampled."""
        self._write(message_type, "error", request_id, fields)

    def _write(
        self,
        message_type: str,
        level: str,
        request_id: str,
        fields: dict[str, typing.Any],
    ) -> None:
        if _current is not None:
            fields["logger"] = self._name
            _current.write(clock.monotonic(), message_type, level, request_id, fields)


_current: Log | None = None


def get_logger(name: str) -> ModuleLogger:
    """Return the logger for a module's ``__name__``."""
    return ModuleLogger(name)


def configure(instance: str, zone: str, sampler: Sampler, descriptor: int = 1) -> Log:
    """Create the log of this process and direct messages to it."""
    global _current
    writer = LineWriter(descriptor)
    eliot.add_destinations(writer)
    _current = Log(writer, sampler, instance, zone)
    return _current


def current() -> Log | None:
    """Return the log of this process, or None before `configure`."""
    return _current
