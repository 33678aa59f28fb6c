"""Importer of extension modules, stored in the executable as `_extensions`.

The dynamic loader accepts only files, but the product runs without a disk.
Each module is therefore copied into an anonymous in-memory file of this process and
loaded from there.
"""

import collections.abc
import importlib.machinery
import types
import zipimport

import _launcher

# Libraries that `build.py` stores besides extension modules; the system provides the C
# library.
LIBRARIES = ("libz.so.1", "libgcc_s.so.1")


def _copy_to_memory(name: str, image: bytes) -> str:
    return f"/proc/self/fd/{_launcher.copy_to_memory(name, image)}"


class Loader(importlib.machinery.ExtensionFileLoader):
    """Loader of one extension module from its file image in memory."""

    def __init__(self, name: str, image: bytes) -> None:
        super().__init__(name, f"{name}.so")
        self._image = image

    def create_module(self, spec: importlib.machinery.ModuleSpec) -> types.ModuleType:
        """Copy the image into an in-memory file and load the module from it."""
        self.path = spec.origin = _copy_to_memory(spec.name, self._image)
        self._image = b""
        return super().create_module(spec)


class Finder:
    """Finder of extension modules in the archive of the executable."""

    def __init__(self, archive: zipimport.zipimporter) -> None:
        self._archive = archive

    def load_libraries(self) -> None:
        """Load the shared libraries on which extension modules depend."""
        for name in LIBRARIES:
            image = self._read(f"libraries/{name}")
            if image is not None:
                _launcher.load_library(_copy_to_memory(name, image))

    def find_spec(
        self,
        fullname: str,
        path: collections.abc.Sequence[str] | None = None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of a stored extension module, or None."""
        image = self._read(f"extensions/{fullname}.so")
        if image is None:
            return None
        return importlib.machinery.ModuleSpec(fullname, Loader(fullname, image))

    def _read(self, name: str) -> bytes | None:
        try:
            return self._archive.get_data(f"{self._archive.archive}/{name}")
        except OSError:
            return None
