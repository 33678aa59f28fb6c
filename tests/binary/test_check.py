"""Tests of the system-call rules that `make binary-check` applies."""

import pytest

from binary import check

EXECUTION = '100 execve("/dist/jackdawpass", ["jackdawpass"], 0x7ff /* 1 var */) = 0'
READING = '100 openat(AT_FDCWD, "/proc/self/exe", O_RDONLY|O_CLOEXEC) = 3'
THREAD = "100 clone3({flags=CLONE_VM|CLONE_THREAD, stack=0x7f}, 88) = 101"


def test_start_reading_and_threads_are_allowed() -> None:
    """Guards against a check that no build can pass."""
    assert check.find_forbidden_calls([EXECUTION, READING, THREAD]) == []


@pytest.mark.parametrize(
    "line",
    [
        '100 openat(AT_FDCWD, "/tmp/x", O_WRONLY|O_CREAT|O_CLOEXEC, 0666) = 3',
        '100 open("/tmp/x", O_RDWR) = -1 EROFS (Read-only file system)',
        'openat(AT_FDCWD, "/tmp", O_RDONLY|O_TMPFILE, 0600) = 3',
        "100 clone(child_stack=NULL, flags=SIGCHLD) = 101",
        "100 vfork( <unfinished ...>",
        '101 mkdir("/tmp/_unpacked", 0700) = 0',
        '101 execve("/bin/sh", ["sh"], 0x7ff /* 1 var */) = 0',
        "100 io_uring_setup(8, 0x7ff) = 3",
        "100 shmget(IPC_PRIVATE, 4096, IPC_CREAT|0600) = 1",
    ],
)
def test_forbidden_calls_are_faults(line: str) -> None:
    """Guards against a check that misses written files or started processes."""
    assert check.find_forbidden_calls([EXECUTION, line]) == [line]
