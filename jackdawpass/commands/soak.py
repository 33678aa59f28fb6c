"""Command `soak`: inject random faults into real processes and check guarantees."""

import argparse
import signal
import sys
import time
import typing

from jackdawpass.commands import console

EXAMPLE = """example:
  jackdawpass soak --seed 1 --seeds 5 --seconds 20
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "soak", __doc__, EXAMPLE)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of the faults per seed"
    )
    parser.add_argument(
        "--minutes", type=float, help="run seeds for this long, instead of --seeds"
    )
    parser.add_argument(
        "--fronts", type=int, default=4, help="number of front processes"
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the seeds one after another; return 1 if a guarantee was violated."""
    # The soak test is available in the development environment only.
    try:
        from soak import run as soak_run
    except ModuleNotFoundError as error:
        raise console.Failed(
            f"cannot run the soak, since {error.name!r} is not part of the product; "
            "run `python -m jackdawpass soak` in a checkout"
        ) from None
    # Exits through SystemExit, so that child processes are stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(console.EXIT_FAILED))
    stop_at = None
    if arguments.minutes is not None:
        stop_at = time.monotonic() + 60 * arguments.minutes
    failed = False
    seed = arguments.seed
    while seed < arguments.seed + arguments.seeds or stop_at is not None:
        if stop_at is not None and time.monotonic() > stop_at:
            break
        report = soak_run.run(seed, arguments.seconds, arguments.fronts)
        print(report, flush=True)
        failed = failed or bool(report.faults)
        seed += 1
    return console.EXIT_FAILED if failed else console.EXIT_DONE
