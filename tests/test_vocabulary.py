"""The protocol's field names live in the package `protocol` alone; everything else speaks `model`.

Read from the sources: identifiers of any kind, strings that are keys (a text that is one such name as
a whole, and parameters in targets), in every module but those of `protocol`.
"""

import ast
import itertools
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

import sandladder

ROOT = Path(sandladder.__file__).parent
MODULES = sorted(
    path for path in ROOT.rglob("*.py") if path.relative_to(ROOT).parts[0] != "protocol"
)

# Field names and words of the protocol that are not the terms of this program, and the terms.
# Fields whose name is the term as well (`id`, `gpus`, `addr`, `price`, `cause` ...) are not listed.
TERMS = {
    "apart": "spread",
    "bookmark_s": "checkpoint_s",
    "breed": "type",
    "breeds": "types",
    "bureau": "team",
    "clerk": "reporting_controller",
    "district": "zone",
    "districts": "zones",
    "docket": "cls",
    "due_s": "deadline_s",
    "edition": "version",
    "entries": "tasks",
    "entry": "task",
    "expect_s": "estimate_s",
    "flushing": "saving",
    "form": "kind",
    "guards": "expected_versions",
    "halt": "stop",
    "halted": "stopped",
    "hire": "rental",
    "ledger": "revision",
    "loaners": "spot",
    "market_price": "spot_price",
    "mates_gone": "peers",
    "mercy_s": "grace_s",
    "orders": "commands",
    "parcel": "image",
    "pull_gb_per_s": "fetch_gb_per_s",
    "ram_gb": "memory_gb",
    "rank": "priority",
    "reap": "forget",
    "recall_s": "notice_s",
    "rung": "machine",
    "rungs": "machines",
    "same_place": "one_zone",
    "seal": "fencing_token",
    "shift": "session",
    "stamp_s": "save_s",
    "standing": "state",
    "tally": "seq",
    "tenure": "lease",
    "vcpus": "cpus",
    "verb": "operation",
}
# Query parameters of the protocol's targets.
PARAMETERS = re.compile(r"\b(?:after|block_ms|most|prefix)=")
# Where one of these names means something else.
ANOTHER_SENSE = {
    ("autoscaling/waiting_work.py", "due_s"): "the time left until a job is due",
    ("membership/policy.py", "rank"): "the place of a controller among those that may act",
    **{
        (f"state/{module}.py", name): "a key of the store with its value and version"
        for module in ("__init__", "entries", "store_client", "watch")
        for name in ("entry", "entries")
    },
    ("state/codecs/schema.py", "form"): "a field of stored records",
    ("state/keys.py", "form"): "a key of stored records",
}
# Where it does not yet: the name is to be replaced by its term.
NOT_RENAMED = {
    ("agents/constants.py", "flushing"): "a task's state is not translated by protocol yet",
}
ALLOWED = ANOTHER_SENSE | NOT_RENAMED


def _identifiers(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        match node:
            case ast.Name(id=name) | ast.Attribute(attr=name) | ast.arg(arg=name):
                yield name
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                yield name
            case ast.ClassDef(name=name):
                yield name
            case ast.keyword(arg=str(name)):
                yield name
            case ast.alias(name=name, asname=renamed):
                yield from name.split(".")
                yield renamed or ""
            case _:
                pass


def _strings(tree: ast.AST) -> Iterator[str]:
    """Texts that are not docstrings, with the fixed parts of f-strings."""
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        match node:
            case ast.Constant(value=str(text)) if id(node) not in docstrings:
                yield text
            case _:
                pass


def _words(identifier: str) -> set[str]:
    """The name without leading underscores, its parts, and its parts with a unit."""
    snake = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", identifier).lower().strip("_")
    parts = snake.split("_")
    pairs = {f"{first}_{second}" for first, second in itertools.pairwise(parts)}
    return {snake, *parts, *pairs}


def themed_names(source: str) -> set[str]:
    """The protocol's names that a module uses."""
    tree = ast.parse(source)
    found = {word for name in _identifiers(tree) for word in _words(name) & TERMS.keys()}
    for text in _strings(tree):
        found |= {text} & TERMS.keys()
        found |= set(PARAMETERS.findall(text))
    return found


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_a_module_uses_no_field_name_of_the_protocol(path: Path) -> None:
    module = str(path.relative_to(ROOT))
    allowed = {name for where, name in ALLOWED if where == module}
    found = themed_names(path.read_text("utf-8"))
    assert found - allowed == set(), {name: TERMS.get(name) for name in found - allowed}
    assert allowed - found == set(), "allowed, but not used any more"


def test_every_exception_is_of_a_module_that_exists() -> None:
    assert {where for where, _ in ALLOWED} <= {str(path.relative_to(ROOT)) for path in MODULES}


@pytest.mark.parametrize(
    ("source", "found"),
    [
        ("doubt_clerk(1)", {"clerk"}),
        ("class RungList: pass", {"rung"}),
        ("x = raw['mercy_s']", {"mercy_s"}),
        ("f(bookmark_s=1.0)", {"bookmark_s"}),
        ("def _orders(self): ...", {"orders"}),
        ("target = f'{path}?after={name}&most=500'", {"after=", "most="}),
        ("'''The docket and the bureau.'''", set()),
        ("log.info('the seal of %s', machine)", set()),
        ("class Platform: perform: int", set()),
    ],
)
def test_the_search_finds_names_and_keys_but_no_prose(source: str, found: set[str]) -> None:
    assert themed_names(source) == found
