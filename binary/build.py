"""Build dist/jackdawpass: launcher, static CPython and an archive of modules.

Run with the Python 3.11 whose standard library the executable will contain. Requires
gcc, strip and ldd.
"""

import collections.abc
import importlib.util
import marshal
import pathlib
import re
import shutil
import subprocess
import sys
import sysconfig
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD_DIRECTORY = ROOT / "build" / "binary"
OUTPUT = ROOT / "dist" / "jackdawpass"
SOURCES = ROOT / "binary"

# Directories and modules that no command imports. Omitting them also shortens the
# start, which reads the central directory of the archive.
OMITTED_NAMES = {"test", "tests", "__pycache__"}
OMITTED_PATHS = (
    "__phello__",
    "distutils",
    "ensurepip",
    "idlelib",
    "lib2to3",
    "msilib",
    "pydoc_data",
    "site-packages",
    "tkinter",
    "turtle.py",
    "turtledemo",
    "twisted/conch",
    "twisted/mail",
    "twisted/names",
    "twisted/pair",
    "twisted/trial",
    "twisted/words",
    "venv",
)
# Provided by the system's C library.
SYSTEM_LIBRARIES = re.compile(r"(linux-vdso|ld-linux|lib(c|m|dl|pthread|rt)\.so)")
# Stored in the executable, since minimal container images may lack them. Extension
# modules that need any other library are left out.
STORED_LIBRARIES = ("libz.so.1", "libgcc_s.so.1")
# A fixed timestamp makes builds of the same tree identical.
ARCHIVE_TIMESTAMP = (1980, 1, 1, 0, 0, 0)
EXTENSION_SUFFIX = re.compile(r"\.(cpython-311-[\w-]+|abi3)?\.?so$")


class Archive:
    """Uncompressed zip archive that is appended to the executable."""

    def __init__(self, path: pathlib.Path) -> None:
        self._zip = zipfile.ZipFile(path, "a", zipfile.ZIP_STORED)
        self._libraries: dict[str, pathlib.Path] = {}
        self._skipped_extensions: list[str] = []
        self._visited_folders: set[pathlib.Path] = set()

    @property
    def skipped_extensions(self) -> list[str]:
        """Extension modules left out, with the unavailable libraries that they need."""
        return self._skipped_extensions

    def add(self, name: str, data: bytes) -> None:
        """Store one file."""
        self._zip.writestr(zipfile.ZipInfo(name, ARCHIVE_TIMESTAMP), data)

    def add_module(self, name: str, path: pathlib.Path) -> None:
        """Store a Python module as bytecode."""
        source = path.read_bytes()
        code = compile(source, name, "exec", dont_inherit=True)
        # Flag 1 marks hash-based bytecode that is never checked against its source.
        header = importlib.util.MAGIC_NUMBER + (1).to_bytes(4, "little")
        header += importlib.util.source_hash(source)
        self.add(name + "c", header + marshal.dumps(code))

    def add_extension(self, name: str, path: pathlib.Path) -> None:
        """Store a stripped extension module unless a library is unavailable."""
        needed = _needed_libraries(path)
        unavailable = sorted(set(needed) - set(STORED_LIBRARIES))
        if unavailable:
            self._skipped_extensions.append(f"{name} ({', '.join(unavailable)})")
            return
        self._libraries.update(needed)
        self.add(f"extensions/{name}.so", _strip(path))

    def add_tree(
        self, root: pathlib.Path, paths: collections.abc.Iterable[pathlib.Path]
    ) -> None:
        """Store all modules in `paths` under their names relative to `root`."""
        for path in sorted(paths):
            name = path.relative_to(root).as_posix()
            if _is_omitted(name):
                continue
            if path.suffix == ".py":
                self._add_namespace(path.parent, root)
                self.add_module(name, path)
            elif path.suffix == ".so":
                dotted = EXTENSION_SUFFIX.sub("", name).replace("/", ".")
                self.add_extension(dotted, path)

    def _add_namespace(self, folder: pathlib.Path, root: pathlib.Path) -> None:
        # zipimport finds a namespace package only by its directory entry.
        for each in (folder, *folder.parents):
            if each == root or each in self._visited_folders:
                return
            self._visited_folders.add(each)
            if not (each / "__init__.py").exists():
                self.add(f"{each.relative_to(root).as_posix()}/", b"")

    def close(self) -> None:
        """Store the required libraries and write the archive's central directory."""
        for soname, path in sorted(self._libraries.items()):
            self.add(f"libraries/{soname}", _strip(path))
        self._zip.close()


def main() -> int:
    """Build the executable; return the exit code."""
    shutil.rmtree(BUILD_DIRECTORY, ignore_errors=True)
    BUILD_DIRECTORY.mkdir(parents=True)
    OUTPUT.parent.mkdir(exist_ok=True)
    dependencies = _install_dependencies()
    executable = _link_launcher()
    archive = Archive(executable)
    archive.add_module("_start.py", SOURCES / "start.py")
    archive.add_module("_extensions.py", SOURCES / "extensions.py")
    archive.add_tree(ROOT, (ROOT / "jackdawpass").rglob("*.py"))
    archive.add_tree(dependencies, dependencies.rglob("*"))
    library = pathlib.Path(sysconfig.get_path("stdlib"))
    archive.add_tree(library, library.rglob("*.py"))
    extensions = pathlib.Path(sysconfig.get_config_var("DESTSHARED"))
    archive.add_tree(extensions, extensions.glob("*.so"))
    archive.close()
    # Renamed into place, since a running executable cannot be overwritten.
    executable.replace(OUTPUT)
    print("left out:", "; ".join(archive.skipped_extensions))
    print(f"{OUTPUT.relative_to(ROOT)}: {OUTPUT.stat().st_size / 1e6:.1f} MB")
    return 0


def _install_dependencies() -> pathlib.Path:
    folder = BUILD_DIRECTORY / "dependencies"
    pip = [sys.executable, "-m", "pip", "install", "--quiet"]
    pip += ["--disable-pip-version-check", "--root-user-action=ignore"]
    pip += ["--no-compile", "--target", str(folder)]
    _run(*pip, "--requirement", str(ROOT / "requirements.txt"))
    return folder


def _link_launcher() -> pathlib.Path:
    folder = pathlib.Path(sysconfig.get_config_var("LIBPL"))
    library = folder / sysconfig.get_config_var("LIBRARY")
    if not library.exists():
        raise SystemExit(
            f"the static CPython library {library} does not exist; use a Python "
            "3.11 that installs it (CPython's own build and python3.11-dev do)"
        )
    output = BUILD_DIRECTORY / "jackdawpass"
    # Extension modules resolve symbols of the interpreter in the executable, so the
    # whole library is linked and its symbols are exported.
    _run(
        *("gcc", "-O2", "-Wall", "-s", "-o", str(output)),
        f"-I{sysconfig.get_path('include')}",
        str(SOURCES / "launcher.c"),
        *("-Wl,--whole-archive", str(library), "-Wl,--no-whole-archive"),
        *("-Wl,--export-dynamic", "-ldl", "-lm", "-lpthread", "-lutil"),
    )
    return output


def _is_omitted(name: str) -> bool:
    if OMITTED_NAMES.intersection(name.split("/")):
        return True
    return any(name == each or name.startswith(f"{each}/") for each in OMITTED_PATHS)


def _needed_libraries(path: pathlib.Path) -> dict[str, pathlib.Path]:
    needed = {}
    for line in _run("ldd", str(path)).splitlines():
        soname, _, rest = line.strip().partition(" => ")
        if rest and not SYSTEM_LIBRARIES.match(soname):
            needed[soname] = pathlib.Path(rest.split(" (")[0])
    return needed


def _strip(path: pathlib.Path) -> bytes:
    copy = BUILD_DIRECTORY / "stripped.so"
    _run("strip", "--strip-unneeded", "-o", str(copy), str(path))
    return copy.read_bytes()


def _run(*command: str) -> str:
    completed = subprocess.run(command, text=True, stdout=subprocess.PIPE)
    if completed.returncode != 0:
        raise SystemExit(f"{command[0]} failed with exit code {completed.returncode}")
    return completed.stdout


if __name__ == "__main__":
    sys.exit(main())
