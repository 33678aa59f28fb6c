"""Compare the binary with other programs, such as that of a virtual environment.

Prints the time of the command `version`, the time until an entry instance prints its
port, and the memory of the instance at that time.
"""

import pathlib
import resource
import statistics
import subprocess
import sys
import time

from binary import check

ENTRY_ARGUMENTS = (
    *("entry", "--instance", "entry-1", "--zone", "a", "--site", "s1"),
    *("--platform-url", "http://127.0.0.1:9"),
)
Measurements = dict[str, float]
STATUS_FIELDS = ("VmRSS", "RssAnon", "RssFile", "RssShmem")


def main() -> int:
    """Measure the binary and the programs given as arguments, and print the results."""
    rounds = int(sys.argv[1])
    programs = (check.BINARY, *sys.argv[2:])
    samples: dict[str, list[Measurements]] = {program: [] for program in programs}
    # Programs alternate, so that load on the machine affects all of them equally.
    for _ in range(rounds):
        for program in programs:
            samples[program].append(_measure(program))
    for program, program_samples in samples.items():
        print(f"{program} (n={rounds})")
        for name in program_samples[0]:
            values = [each[name] for each in program_samples]
            print(
                f"  {name}: median {statistics.median(values):.1f} "
                f"({min(values):.1f} to {max(values):.1f})"
            )
    return 0


def _measure(program: str) -> Measurements:
    sample = {"file MB": pathlib.Path(program).stat().st_size / 1e6}
    begin = time.perf_counter()
    cpu_before = _children_seconds()
    subprocess.run([program, "version"], check=True, stdout=subprocess.DEVNULL)
    sample["version wall ms"] = (time.perf_counter() - begin) * 1000
    sample["version processor ms"] = (_children_seconds() - cpu_before) * 1000
    return sample | _measure_entry(program)


def _children_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def _measure_entry(program: str) -> Measurements:
    begin = time.perf_counter()
    with subprocess.Popen(
        [program, *ENTRY_ARGUMENTS], stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        elapsed = time.perf_counter() - begin
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        process.kill()
    lines = dict(line.split(":", 1) for line in status.splitlines())
    memory = {
        f"{name} MB": int(lines[name].split()[0]) / 1024 for name in STATUS_FIELDS
    }
    return {"entry listens ms": elapsed * 1000} | memory


if __name__ == "__main__":
    sys.exit(main())
