"""Platform store in which a test controls when calls take effect and reply."""

from returns import result

from jackdawpass import errors
from tests.process import fake_platform


class DelayedPlatform(fake_platform.Client):
    """Platform client of one process; at most one call waits for a reply.

    Calls for keys other than `key` are steps that the specification does not model;
    they succeed at once.

    Attributes
    ----------
    in_flight : list of Call
        Writes in flight, including those whose process no longer waits.
    pending_write, pending_read : Call or None
        The call that waits for a reply.
    """

    def __init__(self, store: fake_platform.Store, name: str, key: str) -> None:
        super().__init__(store, name)
        self._key = key
        self.in_flight: list[fake_platform.Call] = []
        self.pending_write: fake_platform.Call | None = None
        self.pending_read: fake_platform.Call | None = None

    def begin(self, call: fake_platform.Call) -> None:
        """Hold a call for the key until the test completes it."""
        if call.key != self._key:
            call.answer()
        elif call.is_write:
            self.pending_write = call
            self.in_flight.append(call)
        else:
            self.pending_read = call

    def deliver(self, write: fake_platform.Call, reply: bool) -> None:
        """Apply a write to the store and optionally pass its reply to the process."""
        self.in_flight.remove(write)
        outcome = write.apply()
        if reply:
            assert write is self.pending_write
            self.pending_write = None
            write.reply.callback(outcome)

    def lose_write(self, write: fake_platform.Call) -> None:
        """Drop a write in flight; its process still waits for the reply."""
        self.in_flight.remove(write)

    def select_write(
        self, matching: list[fake_platform.Call], with_reply: bool
    ) -> fake_platform.Call:
        """Return the write that a step completes, among writes that look the same.

        A reply belongs to the pending write; a delayed write has none.
        """
        if with_reply and self.pending_write in matching:
            return self.pending_write
        if not with_reply and len(matching) > 1:
            return next(each for each in matching if each is not self.pending_write)
        return matching[0]

    def lose_reply(self) -> None:
        """Report to the process that the effect of its write is unknown."""
        write, self.pending_write = self.pending_write, None
        assert write is not None
        write.drop()

    def answer_read(self, ok: bool = True) -> None:
        """Answer the pending read."""
        read, self.pending_read = self.pending_read, None
        assert read is not None
        if ok:
            read.answer()
        else:
            read.reply.callback(result.Failure(errors.PlatformUnavailable("down")))
