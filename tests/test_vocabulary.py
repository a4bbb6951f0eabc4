"""Checks that only the package `protocol` uses the protocol's field names.

Searches every other module's source for these names: as parts of identifiers, as whole strings, and
as query parameters within strings.
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

# The protocol's field names and words that differ from this program's terms, by name.  Names that
# are also the program's terms (`id`, `gpus`, `addr`, `price`, `cause` ...) are not listed.
TERMS = {
    "apart": "spread",
    "bookmark_s": "checkpoint_s",
    "breed": "type",
    "breeds": "types",
    "bureau": "team",
    "clerk": "reporting_controller",
    "district": "zone",
    "districts": "zones",
    "docket": "job_class",
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
    "shift": "agent_epoch",
    "stamp_s": "save_s",
    "standing": "state",
    "tally": "sequence_number",
    "tenure": "lease",
    "vcpus": "cpus",
    "verb": "operation",
}
# Query parameters of the protocol's targets.
PARAMETERS = re.compile(r"\b(?:after|block_ms|most|prefix)=")
# Uses of these names in another sense, by module and name.
ANOTHER_SENSE = {
    ("autoscaling/waiting_work.py", "due_s"): "the time left until a job is due",
    ("membership/policy.py", "rank"): "the position of a controller among the healthy members",
    **{
        (f"state/{module}.py", name): "a key of the store with its value and version"
        for module in ("__init__", "entries", "store_client", "watch")
        for name in ("entry", "entries")
    },
    ("state/codecs/schema.py", "form"): "a field of stored records",
    ("state/keys.py", "form"): "a key of stored records",
}
# Uses that are still to be replaced by the term.
NOT_RENAMED = {
    ("agents/constants.py", "flushing"): "the protocol package does not translate task states yet",
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
    """Yield string constants other than docstrings, including the fixed parts of f-strings."""
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        match node:
            case ast.Constant(value=str(text)) if id(node) not in docstrings:
                yield text
            case _:
                pass


def _words(identifier: str) -> set[str]:
    """Return an identifier in snake case, its parts, and its pairs of adjacent parts."""
    snake = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", identifier).lower().strip("_")
    parts = snake.split("_")
    pairs = {f"{first}_{second}" for first, second in itertools.pairwise(parts)}
    return {snake, *parts, *pairs}


def protocol_names(source: str) -> set[str]:
    """Return the protocol's names that a module uses."""
    tree = ast.parse(source)
    found = {word for name in _identifiers(tree) for word in _words(name) & TERMS.keys()}
    for text in _strings(tree):
        found |= {text} & TERMS.keys()
        found |= set(PARAMETERS.findall(text))
    return found


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_a_module_uses_no_protocol_names(path: Path) -> None:
    module = str(path.relative_to(ROOT))
    allowed = {name for where, name in ALLOWED if where == module}
    found = protocol_names(path.read_text("utf-8"))
    assert found - allowed == set(), {name: TERMS.get(name) for name in found - allowed}
    assert allowed - found == set(), "allowed but no longer used"


def test_every_allowed_use_names_an_existing_module() -> None:
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
def test_the_search_finds_identifiers_and_keys_but_no_prose(source: str, found: set[str]) -> None:
    assert protocol_names(source) == found
