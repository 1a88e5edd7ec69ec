"""Checks the decision module that a deploy file names: its files exist, both programs load them, and none does I/O.

The decision module has to give the same decisions in the daemon (`run`) and in the simulator (`sim`), so it gets the
time, the seed and all input from its caller. Usage: `policy_check.py deploy/balancer.toml`."""

import ast
import json
import pathlib
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterator

# Modules that read files, sockets, processes, threads, clocks or the system's random numbers.
FORBIDDEN_MODULES = frozenset(
    "asyncio builtins concurrent ctypes datetime fcntl fileinput ftplib glob http importlib io mmap multiprocessing os "
    "pathlib platform queue requests runpy sched secrets select selectors shutil signal smtplib socket socketserver "
    "sqlite3 ssl subprocess sys tempfile threading time urllib uuid _thread".split()
)
FORBIDDEN_CALLS = frozenset(("open", "input", "print", "exec", "eval", "compile", "__import__", "breakpoint"))
SEEDED_GENERATOR = "Random"  # the one name of `random` that a seed makes repeatable
COMMAND = re.compile(r"python3? -m ([\w.]+)((?: \w[\w-]*)?)")
PRINT_LOADED_FILES = """
import importlib, json, sys
importlib.import_module(sys.argv[1])
print(json.dumps([getattr(module, "__file__", None) for module in list(sys.modules.values())]))
"""


def entry_module(command: str) -> str:
    """The module that a command of the deploy file serves from; `-m package serve` stands for `package.serve`."""
    found = COMMAND.search(command)
    if found is None:
        raise ValueError(f"{command!r}: not of the form 'python -m MODULE'")
    return found[1] + found[2].replace(" ", ".")


def loaded_files(root: pathlib.Path, module: str) -> set[pathlib.Path]:
    """The source files in memory once `module` has been imported with `root` as working directory."""
    child = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED_FILES, module], cwd=root, capture_output=True, text=True, check=False
    )
    if child.returncode:
        raise ValueError(f"{module}: cannot be imported: {child.stderr.strip()[-300:]}")
    return {pathlib.Path(name).resolve() for name in json.loads(child.stdout) if name}


def uses_of_io(tree: ast.Module) -> Iterator[tuple[int, str]]:
    """Line and description of each use of I/O, of a clock or of random numbers without a seed."""
    random_names = {"random"}
    generator_names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.split(".")[0] in FORBIDDEN_MODULES:
                    yield node.lineno, f"imports {alias.name}"
                elif alias.name == "random":
                    random_names.add(alias.asname or alias.name)
        elif isinstance(node, ast.ImportFrom) and not node.level:
            package = (node.module or "").split(".")[0]
            if package in FORBIDDEN_MODULES:
                yield node.lineno, f"imports from {node.module}"
            elif package == "random":
                for alias in node.names:
                    if alias.name == SEEDED_GENERATOR:
                        generator_names.add(alias.asname or alias.name)
                    else:
                        yield node.lineno, f"imports random.{alias.name}"
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id in random_names:
            if node.attr != SEEDED_GENERATOR:
                yield node.lineno, f"uses random.{node.attr}, which no seed of the caller's governs"
        if not isinstance(node, ast.Call):
            continue
        name = node.func.attr if isinstance(node.func, ast.Attribute) else getattr(node.func, "id", "")
        is_generator = name in generator_names or ast.unparse(node.func) in {f"{x}.Random" for x in random_names}
        if is_generator and (not node.args or isinstance(node.args[0], ast.Constant) and node.args[0].value is None):
            yield node.lineno, "makes a random generator without a seed"
        if isinstance(node.func, ast.Name) and name in FORBIDDEN_CALLS:
            yield node.lineno, f"calls {name}()"


def problems(deploy: pathlib.Path) -> Iterator[str]:
    """One line for each rule that the decision module named by `deploy` breaks."""
    described = tomllib.loads(deploy.read_text())
    root = deploy.resolve().parent.parent
    files = [root / name for name in described["policy"]]
    missing = [path for path in files if not path.is_file()]
    if missing or not files:
        yield from (f"policy: {path.relative_to(root)} does not exist" for path in missing)
        if not files:
            yield "policy: names no file"
        return
    for command in ("run", "sim"):
        loaded = loaded_files(root, entry_module(described[command]))
        for path in files:
            if path.resolve() not in loaded:
                yield f"policy: {path.relative_to(root)} is not loaded by `{command}`"
    # The named files import their neighbours, so the rule holds for whole folders.
    for folder in sorted({path.parent for path in files}):
        for path in sorted(folder.glob("*.py")):
            for line, use in uses_of_io(ast.parse(path.read_text())):
                yield f"{path.relative_to(root)}:{line}: {use}"


if __name__ == "__main__":
    sys.exit("\n".join(problems(pathlib.Path(sys.argv[1]))) or 0)
