"""Starts the command line inside the executable; stored there as `_start`."""

import sys
import zipimport

import _extensions

# Names the running file even after an upgrade replaced it.
ARCHIVE = "/proc/self/exe"


def main() -> None:
    """Make the stored extension modules importable and run the command line."""
    finder = _extensions.Finder(zipimport.zipimporter(ARCHIVE))
    finder.load_libraries()
    # Built-in and frozen modules come first, the search path comes last.
    sys.meta_path.insert(2, finder)

    from jackdawpass import cli

    sys.exit(cli.main())
