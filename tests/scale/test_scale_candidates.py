"""The comparison of algorithms that choose candidate endpoints."""

from scale.candidates import measure
from scale.hash_algorithms import ALGORITHMS, IN_USE


def test_the_algorithm_in_use_meets_all_bounds_that_are_not_times() -> None:
    """Times depend on the load of the machine, so figures in ms and us are not checked."""
    rows = measure(smoke=True)
    assert {row["name"].split(":")[0] for row in rows} == {*ALGORITHMS, "module"}
    assert all(set(row) == {"name", "size", "value", "unit", "bound", "why"} for row in rows)
    counted = [row for row in rows if row["bound"] is not None and row["unit"] not in ("ms", "us")]
    assert {row["size"] for row in counted} == {60, 200}
    assert len(counted) == 8 and all(row["name"].startswith(IN_USE) for row in counted)
    assert not [row for row in counted if row["value"] > row["bound"]]
