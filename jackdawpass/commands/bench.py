"""Command `bench`: measure the policy against a naive baseline."""

import argparse
import pathlib
import signal
import sys
import typing

from jackdawpass.commands import console

EXAMPLE = """example:
  jackdawpass bench one-straggler --scale 0.2
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "bench", __doc__, EXAMPLE)
    parser.add_argument("experiment", nargs="?", metavar="EXPERIMENT")
    parser.add_argument("--list", action="store_true", help="list the experiments")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--scale",
        type=float,
        default=1.0,
        help="factor for all times; goals in seconds apply only at 1",
    )
    parser.add_argument("--rounds", type=int, default=2, help="runs of each policy")
    parser.add_argument("--out", default="bench-out", help="directory for the results")
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run one experiment; exit with 2 if no experiment has the given name."""
    # Imported here because matplotlib costs time and memory that only this command
    # needs.
    try:
        from jackdawpass.bench import suite
    except ModuleNotFoundError as error:
        raise console.Failed(
            f"cannot run experiments, since {error.name!r} is not part of the product; "
            "run this command in the developers' environment (`make setup`)"
        ) from None

    titles = suite.titles()
    if arguments.list:
        print("\n".join(f"{name:<22}{title}" for name, title in titles.items()))
        return console.EXIT_DONE
    if arguments.experiment not in titles:
        arguments.parser.error(
            f"no experiment {arguments.experiment!r}; use --list to see the names"
        )
    options = suite.Options(
        arguments.seed, arguments.scale, arguments.rounds, pathlib.Path(arguments.out)
    )
    # The default action would leave child processes running.
    signal.signal(signal.SIGTERM, _exit)
    print(suite.run(arguments.experiment, options))
    return console.EXIT_DONE


def _exit(number: int, frame: object) -> None:
    sys.exit(128 + number)
