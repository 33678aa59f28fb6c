"""Style rules that the linter does not check."""

import ast
import pathlib

import pytest

from tests import mutation, mutations

ROOT = pathlib.Path(__file__).parent.parent
MAX_LINES = 400
SOURCES = sorted(
    path
    for folder in ("binary", "jackdawpass", "soak", "specs", "tests")
    for path in (ROOT / folder).rglob("*.py")
)


def _is_module(package: str, name: str) -> bool:
    base = ROOT / pathlib.Path(*package.split("."))
    return (base / f"{name}.py").exists() or (base / name / "__init__.py").exists()


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_own_modules_are_imported_not_names(path: pathlib.Path) -> None:
    """Guards against imported names whose module is not visible at their use."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module.split(".")[0] in (
            "binary",
            "jackdawpass",
            "soak",
            "specs",
            "tests",
        ):
            names = [alias.name for alias in node.names]
            allowed = [
                name
                for name in names
                if _is_module(node.module, name) or name == "__version__"
            ]
            assert names == allowed, f"{path}:{node.lineno}"


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_modules_stay_small(path: pathlib.Path) -> None:
    """Guards against modules with several responsibilities and license banners."""
    lines = path.read_text(encoding="utf-8").splitlines()
    assert len(lines) <= MAX_LINES
    banner = " ".join(lines[:5]).lower()
    assert "copyright" not in banner and "licen" not in banner


def test_standard_library_typing_is_imported_as_a_module() -> None:
    """Guards against several spellings of the same annotation."""
    for path in SOURCES:
        text = path.read_text(encoding="utf-8")
        for module in ("typing", "dataclasses", "collections.abc"):
            line = "from " + module + " import"
            assert line not in text, path


@pytest.mark.parametrize(
    "each", mutations.MUTATIONS, ids=lambda each: each.guarantee.replace(" ", "-")
)
def test_mutations_find_their_text(each: mutation.Mutation) -> None:
    """Guards against a mutation that no longer applies after its module was changed."""
    source = (ROOT / each.path).read_text(encoding="utf-8")
    for old, _ in ((each.old, each.new), *each.also):
        assert source.count(old) == 1
