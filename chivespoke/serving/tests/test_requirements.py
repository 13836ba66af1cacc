"""Tests that a deployment installs what the daemons import."""

import ast
import importlib.util
import pathlib
import re
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
PACKAGE = 'chivespoke'
# Modules that a requirement installs under another name, or brings along.
MODULES = {
    'opentelemetry-exporter-prometheus': {
        'opentelemetry',
        'prometheus_client',
    },
    'opentelemetry-sdk': {'opentelemetry'},
    'pyzmq': {'zmq'},
}


def read_required_modules() -> set[str]:
    """Return the modules that the requirements of a deployment install."""
    text = (ROOT / 'deploy' / 'requirements.txt').read_text(encoding='utf-8')
    modules: set[str] = set()
    for name in re.findall(r'^[\w-]+', text, re.MULTILINE):
        modules |= MODULES.get(name, {name})
    return modules


def list_imports(module: str) -> set[str]:
    """Return the names that a module imports; an attribute may be a module."""
    spec = importlib.util.find_spec(module)
    if spec is None or spec.origin is None:
        return set()
    names: set[str] = set()
    source = pathlib.Path(spec.origin).read_text(encoding='utf-8')
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names |= {f'{node.module}.{alias.name}' for alias in node.names}
    return names


def find_module(name: str) -> bool:
    """Return whether a dotted name of this package is a module."""
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


class RequirementTest(unittest.TestCase):
    """Follow the imports of the daemons.

    On a played day no process started, since a library was declared for the
    project but not for its deployment.
    """

    def test_every_library_of_the_daemons_is_installed(self) -> None:
        seen: set[str] = set()
        libraries: set[str] = set()
        waiting = [f'{PACKAGE}.serving.__main__']
        while waiting:
            module = waiting.pop()
            if module in seen:
                continue
            seen.add(module)
            for name in list_imports(module):
                top = name.partition('.')[0]
                if top == PACKAGE:
                    if find_module(name):
                        waiting.append(name)
                elif top not in sys.stdlib_module_names:
                    libraries.add(top)
        self.assertEqual(set(), libraries - read_required_modules())
