"""Tests that the files that the documentation pages name exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "DEVELOPERS.md", "docs/architecture.md", "docs/CAPACITY.md")


@pytest.mark.parametrize("page", PAGES)
def test_every_file_that_a_page_names_exists(page: str) -> None:
    """Guards against pages that name moved or deleted files."""
    named_paths = re.findall(
        r"`((?:moleport|tests|docs|soak|scale|deploy)/[\w./-]*)`", (ROOT / page).read_text()
    )
    assert named_paths
    assert not [path for path in named_paths if not (ROOT / path).exists()]
