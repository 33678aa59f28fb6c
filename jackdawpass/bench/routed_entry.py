"""Entry instance with an alternative router, run as a separate process."""

import argparse
import json
import pathlib
import typing

from jackdawpass.bench import routers
from jackdawpass.process import entry, settings


def main() -> None:
    """Run the instance until the process is killed."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True)
    parser.add_argument("--router", required=True, choices=routers.SELECTORS)
    arguments = parser.parse_args()
    text = pathlib.Path(arguments.settings).read_text(encoding="utf-8")
    options = settings.load(text, arguments.settings, {}, {}).unwrap().settings
    policy = routers.RoutingPolicy(routers.SELECTORS[arguments.router])
    instance = entry.Entry(reactor, options, policy)
    instance.start()
    print(json.dumps({"port": instance.port}), flush=True)
    typing.cast(typing.Any, reactor).run()


if __name__ == "__main__":
    main()
