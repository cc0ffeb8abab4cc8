from pathlib import Path

import pytest

from bench.capacity import BEGIN, END, replace_measured

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def test_only_the_measured_part_is_replaced():
    page = f"before\n{BEGIN}\nold\n{END}\nafter\n"
    assert replace_measured(page, "new") == (
        f"before\n{BEGIN}\n\nnew\n\n{END}\nafter\n"
    )


@pytest.mark.parametrize(
    "page", ["", BEGIN, END, f"{END} {BEGIN}", f"{BEGIN}{BEGIN}{END}"]
)
def test_a_page_without_its_markers_is_refused(page):
    with pytest.raises(ValueError, match=f"expected (exactly one )?{BEGIN}"):
        replace_measured(page, "new")


def test_the_page_can_be_rewritten():
    assert "new" in replace_measured(PAGE.read_text(), "new")
