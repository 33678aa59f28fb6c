"""Start of the command line in the executable, which stores this as `_start`."""

import sys
import zipimport

import _extensions

# Refers to the running file even after an upgrade has replaced it.
ARCHIVE = "/proc/self/exe"


def main() -> None:
    """Make the stored extension modules importable and run the command line."""
    finder = _extensions.Finder(zipimport.zipimporter(ARCHIVE))
    finder.load_libraries()
    # After the finders of built-in and frozen modules, before that of the search path.
    sys.meta_path.insert(2, finder)

    from jackdawpass import cli

    sys.exit(cli.main())
