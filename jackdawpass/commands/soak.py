"""Command `soak`: random faults against real processes, promises checked."""

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
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds to play")
    parser.add_argument("--seconds", type=float, default=15.0, help="of faults a seed")
    parser.add_argument("--minutes", type=float, help="play seeds for so long instead")
    parser.add_argument("--fronts", type=int, default=4, help="front processes")
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Play seeds one after another; fail when one broke a promise."""
    # Part of the developers' environment, not of the product.
    try:
        from soak import run as soak_run
    except ModuleNotFoundError as error:
        raise console.Failed(
            f"cannot run the soak, since {error.name!r} is not part of the product; "
            "run `python -m jackdawpass soak` in a checkout"
        ) from None
    # Told to stop, it still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(console.EXIT_FAILED))
    until = None
    if arguments.minutes is not None:
        until = time.monotonic() + 60 * arguments.minutes
    failed = False
    seed = arguments.seed
    while seed < arguments.seed + arguments.seeds or until is not None:
        if until is not None and time.monotonic() > until:
            break
        report = soak_run.run(seed, arguments.seconds, arguments.fronts)
        print(report, flush=True)
        failed = failed or bool(report.faults)
        seed += 1
    return console.EXIT_FAILED if failed else console.EXIT_DONE
