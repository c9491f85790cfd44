"""The pages name files that exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "DEVELOPERS.md", "docs/architecture.md", "docs/CAPACITY.md")


@pytest.mark.parametrize("page", PAGES)
def test_every_file_that_a_page_names_exists(page: str) -> None:
    named = re.findall(r"`((?:moleport|tests|docs|soak|scale|deploy)/[\w./-]*)`", (ROOT / page).read_text())
    assert named
    assert not [path for path in named if not (ROOT / path).exists()]
