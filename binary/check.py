"""Check that dist/jackdawpass runs without home, environment or writable files.

Each command runs in a directory in which nobody can create files, and its environment
holds only a TMPDIR that does not exist. A child process, a file opened for writing or
an unexpected exit code is a fault.
"""

import collections.abc
import json
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = str(ROOT / "dist" / "jackdawpass")
# Not even root can create files in this directory.
READ_ONLY_DIRECTORY = "/proc"
ENVIRONMENT = {"TMPDIR": "/nonexistent/tmp"}
POLL_SECONDS = 0.0005
TIMEOUT_SECONDS = 60.0
ENTRY_CHECK = (
    *("entry", "--instance", "entry-1", "--zone", "a", "--site", "s1"),
    *("--platform-url", "http://127.0.0.1:9", "--check", "--format", "json"),
)
TRACED_CALLS = (
    "open,openat,openat2,creat,execve,execveat,fork,vfork,clone,clone3,"
    "mkdir,mkdirat,mknod,mknodat,link,linkat,symlink,symlinkat,"
    "rename,renameat,renameat2,truncate,unlink,unlinkat,shmget,io_uring_setup"
)
_OPEN_CALL = re.compile(r"\b(open|openat|openat2)\(")
_WRITE_FLAGS = re.compile(r"\bO_(WRONLY|RDWR|CREAT|TRUNC|TMPFILE|APPEND)\b")
_CLONE_CALL = re.compile(r"\bclone3?\(")
_TRACED_CALL = re.compile(r"^(?:\d+\s+)?[a-z]\w*\(")


def main() -> int:
    """Run all checks and print the faults; return the exit code."""
    if not pathlib.Path(BINARY).exists():
        print(f"{BINARY} does not exist; run `make binary`", file=sys.stderr)
        return 1
    faults = check(BINARY)
    for fault in faults:
        print(f"fault: {fault}", file=sys.stderr)
    return 1 if faults else 0


def check(program: str) -> list[str]:
    """Run the commands of a program and return the faults."""
    faults = []
    for arguments in (("version",), ("demo",), ENTRY_CHECK):
        found, output = run_monitored((program, *arguments))
        found += _check_output(arguments, output)
        found += _check_trace((program, *arguments))
        print(f"{arguments[0]}: {'; '.join(found) or 'passed'}")
        faults += [f"{arguments[0]}: {fault}" for fault in found]
    return faults


def run_monitored(command: collections.abc.Sequence[str]) -> tuple[list[str], str]:
    """Run a command while polling for child processes; return faults and output."""
    with tempfile.TemporaryFile() as output:
        process = subprocess.Popen(
            command, cwd=READ_ONLY_DIRECTORY, env=ENVIRONMENT, stdout=output
        )
        children: set[str] = set()
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while process.poll() is None:
            children |= _child_processes(process.pid)
            if time.monotonic() > deadline:
                process.kill()
            time.sleep(POLL_SECONDS)
        output.seek(0)
        text = output.read().decode()
    faults = [f"child process {each}" for each in sorted(children)]
    if process.returncode != 0:
        faults.append(f"exit code {process.returncode}")
    return faults, text


def _child_processes(pid: int) -> set[str]:
    found: set[str] = set()
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/children"):
        try:
            found.update(path.read_text().split())
        except OSError:
            # The thread has exited.
            continue
    return found


def _check_output(arguments: collections.abc.Sequence[str], output: str) -> list[str]:
    if arguments[0] == "version":
        return [] if output.startswith("jackdawpass ") else [f"printed {output!r}"]
    if arguments[0] == "demo":
        return [] if output.count("== ") == 3 else ["did not print three outcomes"]
    try:
        names = {row["name"] for row in json.loads(output)}
    except ValueError:
        return [f"printed {output!r}"]
    return [] if "instance" in names else ["did not print the instance's name"]


def _check_trace(command: collections.abc.Sequence[str]) -> list[str]:
    if shutil.which("strace") is None:
        print("strace is not installed, so system calls are not checked")
        return []
    with tempfile.NamedTemporaryFile() as trace:
        strace = ["strace", "-f", "-qq", "-e", f"trace={TRACED_CALLS}"]
        completed = subprocess.run(
            [*strace, "-o", trace.name, *command],
            cwd=READ_ONLY_DIRECTORY,
            env=ENVIRONMENT,
            stdout=subprocess.DEVNULL,
        )
        lines = trace.read().decode(errors="replace").splitlines()
    faults = find_forbidden_calls(lines)
    if completed.returncode != 0:
        faults.append(f"exit code {completed.returncode} under strace")
    return faults


def find_forbidden_calls(lines: collections.abc.Iterable[str]) -> list[str]:
    """Return the lines of a trace with system calls that the product must not make."""
    faults = []
    execve_calls = 0
    for line in lines:
        if not _TRACED_CALL.match(line):
            continue
        if _OPEN_CALL.search(line):
            allowed = not _WRITE_FLAGS.search(line)
        elif _CLONE_CALL.search(line):
            allowed = "CLONE_THREAD" in line
        else:
            execve_calls += "execve(" in line
            allowed = "execve(" in line and execve_calls == 1
        if not allowed:
            faults.append(line)
    return faults


if __name__ == "__main__":
    sys.exit(main())
