"""Platform store in which a test decides when each call takes effect and answers."""

from returns import result

from jackdawpass import errors
from tests.process import fake_platform


class DelayedPlatform(fake_platform.Client):
    """The platform as one process sees it; at most one call waits for a reply.

    Calls for other keys than `key` are steps that a specification leaves out; they
    succeed at once.

    Attributes
    ----------
    flying : list of Call
        Writes on their way, which include those whose process waits no longer.
    writing, reading : Call or None
        The call that waits for a reply.
    """

    def __init__(self, store: fake_platform.Store, name: str, key: str) -> None:
        super().__init__(store, name)
        self._key = key
        self.flying: list[fake_platform.Call] = []
        self.writing: fake_platform.Call | None = None
        self.reading: fake_platform.Call | None = None

    def begin(self, call: fake_platform.Call) -> None:
        """Let the test decide about a call for the key."""
        if call.key != self._key:
            call.answer()
        elif call.is_write:
            self.writing = call
            self.flying.append(call)
        else:
            self.reading = call

    def land(self, write: fake_platform.Call, reply: bool) -> None:
        """Let a write reach the store, and its reply reach the process."""
        self.flying.remove(write)
        outcome = write.apply()
        if reply:
            assert write is self.writing
            self.writing = None
            write.reply.callback(outcome)

    def lose(self, write: fake_platform.Call) -> None:
        """Lose a write on its way; its process still waits for the reply."""
        self.flying.remove(write)

    def choose(
        self, matching: list[fake_platform.Call], replies: bool
    ) -> fake_platform.Call:
        """Return the write that a step is about, of writes that look the same.

        A reply belongs to the write that waits; a late write has none.
        """
        if replies and self.writing in matching:
            return self.writing
        if not replies and len(matching) > 1:
            return next(each for each in matching if each is not self.writing)
        return matching[0]

    def lose_reply(self) -> None:
        """Tell the process that its write has an unknown effect."""
        write, self.writing = self.writing, None
        assert write is not None
        write.drop()

    def answer_read(self, ok: bool = True) -> None:
        """Answer the read that waits."""
        read, self.reading = self.reading, None
        assert read is not None
        if ok:
            read.answer()
        else:
            read.reply.callback(result.Failure(errors.PlatformUnavailable("down")))
