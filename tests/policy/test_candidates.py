"""Mapping of keys to endpoints: balance, agreement between nodes, cost and moved keys after list changes."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from types import FrameType
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st
from world import SECOND_NS, Node, server, settings, snapshot

from moleport.policy import interface as api
from moleport.policy.candidate_index import CandidateIndex
from moleport.policy.hashing import SlotGrid, mix64, to_weight_units
from moleport.policy.interface import AttemptResult, EndpointState, EndpointUpdateKind


def count_bytecodes(call: Callable[[], object]) -> int:
    """Return the number of bytecodes that a call executes, a cost that does not depend on the machine."""
    count = 0

    def trace(frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    previous_trace = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous_trace)
    return count


def zoned_endpoint(number: int, zone_count: int = 9) -> api.Endpoint:
    """Return an endpoint; zones are assigned round robin."""
    return server(number)._replace(zone=number % zone_count)


def node_with_endpoints(count: int, **changes: object) -> Node:
    """Return a node with this number of ready endpoints in nine zones."""
    node = Node(settings(**changes), servers=0)
    node.handle(snapshot(*(zoned_endpoint(number) for number in range(count))))
    return node


def delta_update(*servers: api.Endpoint) -> api.EndpointUpdate:
    """Return a delta update with these entries."""
    return api.EndpointUpdate(EndpointUpdateKind.DELTA, servers)


def grid_of(weights: dict[int, float]) -> SlotGrid[int]:
    """Return a grid whose members have these weights, by member number."""
    slot_grid: SlotGrid[int] = SlotGrid()
    slot_grid.update(
        {name.to_bytes(6, "big"): (to_weight_units(weight), name) for name, weight in weights.items()}
    )
    return slot_grid


def relative_loads(slot_grid: SlotGrid[int], key_count: int) -> dict[int, float]:
    """Return the fraction of the keys of each member, divided by its fraction of the weight."""
    key_counts = Counter(slot_grid.find(mix64(key)) for key in range(key_count))
    assert None not in key_counts
    members = slot_grid._members.values()
    return {name: key_counts[name] / key_count * slot_grid.total_units / units for units, name in members}


# Tests of the mapping through the decision module.


def test_every_endpoint_of_a_long_list_gets_keys() -> None:
    """Guards against a hash table with fewer slots than the list has endpoints."""
    node = node_with_endpoints(3000)
    used = {node.serve(mix64(key) | 1) for key in range(45_000)}
    assert len(used) == 3000


def test_the_cost_of_a_change_does_not_grow_with_the_list() -> None:
    """Guards against a rebuild at each change, which would block the event loop."""
    costs = {}
    for count in (100, 3000):
        node = node_with_endpoints(count, zone=0)
        changes = [
            zoned_endpoint(count),
            zoned_endpoint(count + 9)._replace(started_at_ns=node.now),
            zoned_endpoint(9)._replace(state=EndpointState.DRAINING),
            zoned_endpoint(18)._replace(state=EndpointState.REMOVED),
            zoned_endpoint(27)._replace(weight=2.0),
            zoned_endpoint(9),
        ]
        costs[count] = [
            count_bytecodes(lambda node=node, change=change: node.handle(delta_update(change)))
            for change in changes
        ]
    assert max(max(costs_of_count) for costs_of_count in costs.values()) < 5000


def test_a_snapshot_that_changes_one_endpoint_is_cheap() -> None:
    """Guards against a snapshot that costs much more than reading its entries."""
    node = node_with_endpoints(2000, zone=0)
    entries = [zoned_endpoint(number) for number in range(2000)]
    assert count_bytecodes(lambda: node.handle(snapshot(*entries[1:]))) < 100 * 2000


def test_a_request_in_a_full_fleet_does_not_check_every_endpoint() -> None:
    """The search for an endpoint that does not reject the class is bounded."""
    node = node_with_endpoints(1500)
    for backend in node.balancer._endpoints.by_id.values():
        backend.rejection_rates[0] = 1.0
    assert count_bytecodes(lambda: node.request(0, 7)) < 25_000


def test_nodes_with_the_same_list_agree_on_keys() -> None:
    """The mapping depends on the list alone, not on the updates that led to it."""
    new_node = node_with_endpoints(40, zone=1)
    old_node = Node(settings(zone=1), servers=0, seed=7)
    for number in Random(3).sample(range(80), 80):
        old_node.handle(delta_update(zoned_endpoint(number)._replace(weight=3.0)))
    old_node.handle(snapshot(*(zoned_endpoint(number) for number in reversed(range(40)))))
    assert [new_node.serve(key) for key in range(1, 400)] == [old_node.serve(key) for key in range(1, 400)]


def test_the_choice_does_not_depend_on_the_process() -> None:
    """Guards against iterating over a set, whose order differs between processes."""
    program = (
        "from test_candidates import *\n"
        "node = node_with_endpoints(300, zone=2)\n"
        "node.handle(delta_update(*(\n"
        "    zoned_endpoint(n)._replace(weight=1 + n / 100) for n in range(200, 500))))\n"
        "print([node.serve(key) for key in range(1, 500)])\n"
    )
    root = Path(__file__).parents[2]
    outputs = [
        subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            check=True,
            text=True,
            env={
                **os.environ,
                "PYTHONHASHSEED": seed,
                "PYTHONPATH": f"{root}:{root / 'tests'}:{root / 'tests' / 'policy'}",
            },
        ).stdout
        for seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1]


def test_the_first_endpoint_of_a_key_is_in_the_own_zone() -> None:
    """All zones have equal weights, so the own zone has the capacity for its keys."""
    node = node_with_endpoints(900, zone=4)
    used = {node.serve(mix64(key) | 1) for key in range(2000)}
    assert {int.from_bytes(endpoint_id or b"", "big") % 9 for endpoint_id in used} == {4}


def test_a_zone_that_lost_endpoints_gets_only_the_keys_that_it_has_capacity_for() -> None:
    """A zone with half of its endpoints, one of nine zones, is assigned 50 * 9 / 850 of the keys."""
    node = node_with_endpoints(900, zone=4)
    node.handle(
        delta_update(*(zoned_endpoint(n)._replace(state=EndpointState.REMOVED) for n in range(4, 450, 9)))
    )
    is_own_zone_counts = Counter(
        int.from_bytes(node.serve(mix64(key) | 1) or b"", "big") % 9 == 4 for key in range(4000)
    )
    own_zone_ratio = 50 * 9 / 850
    assert is_own_zone_counts[True] / 4000 == pytest.approx(
        own_zone_ratio + (1 - own_zone_ratio) * 50 / 850, abs=0.03
    )


@pytest.mark.parametrize(
    "weights",
    [
        (0.0, -1.0, float("inf"), float("nan")),
        (5e-324, 1e-9, 1.0, 1e9, 1.7e308),
        (5e-324,),
        (1e308, 1e308),
    ],
)
def test_invalid_and_extreme_weights_are_tolerated(
    weights: tuple[float, ...],
) -> None:
    """Requests are forwarded, and list updates and hash ratios by load reports continue to work."""
    node = Node(settings(zone=0, load_report_fields=("utilization",)), servers=0)
    node.handle(
        snapshot(
            *(server(n)._replace(weight=weights[n % len(weights)], hardware_type=n % 2) for n in range(24))
        )
    )
    for hardware_type in node.balancer._hardware_types.by_type.values():
        hardware_type.hash_ratio = 0.1
    for repetition in range(3):
        for key in range(1, 200):
            send = node.request(0, key + 1000 * repetition)[-1]
            if isinstance(send, api.Forward):
                node.finish_attempt(send, AttemptResult.OK, report=(0.9,))
        node.wait(SECOND_NS)
    assert node.serve(5) is not None


def test_the_last_of_two_entries_with_the_same_id_applies() -> None:
    """Guards against an endpoint that is ready twice if the list contains its id twice."""
    node = Node(settings(), servers=0)
    node.handle(snapshot(server(1), server(2), server(2, EndpointState.DRAINING), server(3), server(3)))
    assert {node.serve(key) for key in range(1, 100)} == {server(1).id, server(3).id}
    assert len(node.balancer._endpoints.ready) == 2


def test_an_emptied_list_is_restored_with_the_same_choices() -> None:
    """Requests are rejected while the list is empty."""
    node = node_with_endpoints(40, zone=1)
    choices_before = [node.serve(key) for key in range(1, 300)]
    for kind in (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.CACHED):
        node.handle(api.EndpointUpdate(kind, ()))
        assert isinstance(node.request(0, 1)[-1], api.Reject)
        node.wait(SECOND_NS)
        node.handle(snapshot(*(zoned_endpoint(number) for number in range(40))))
        assert [node.serve(key) for key in range(1, 300)] == choices_before


def test_a_node_whose_zone_has_no_endpoint_uses_all_zones() -> None:
    """Every endpoint of the other zones gets keys."""
    node = node_with_endpoints(60, zone=77)
    assert len({node.serve(key) for key in range(1, 2000)}) == 60


# Tests of the data structures alone.


@pytest.mark.parametrize("count", [6, 15, 22, 60, 200])
def test_equal_weights_get_about_equal_numbers_of_keys(count: int) -> None:
    """The load of each member is within a quarter of the mean."""
    loads = relative_loads(grid_of(dict.fromkeys(range(count), 1.0)), 400 * count)
    assert min(loads.values()) > 0.75 and max(loads.values()) < 1.25


@pytest.mark.parametrize("weights", [(1.0, 2.0, 4.0), (0.7, 1.0, 1.3), (0.3, 10.0), (1e-3, 2e-3)])
def test_keys_are_distributed_by_weight(weights: tuple[float, ...]) -> None:
    """The deviation from the weights is within the sampling error."""
    slot_grid = grid_of({number: weights[number % len(weights)] for number in range(24)})
    loads = relative_loads(slot_grid, 60_000)
    min_weight_ratio = min(units for units, _ in slot_grid._members.values()) / slot_grid.total_units
    tolerance = 0.15 + 4 / (60_000 * min_weight_ratio) ** 0.5  # the second term is for the sampling error
    assert 1 - tolerance < min(loads.values()) and max(loads.values()) < 1 + tolerance


@pytest.mark.parametrize("count", [20, 60, 250])
def test_a_change_moves_few_other_keys(count: int) -> None:
    """A change moves at most 1.1 times the keys of the member, over a hundred removals and additions."""
    random = Random(count)
    moved_ratio = expected_ratio = 0.0
    for first in range(0, 5000, 1000):
        names, keys = list(range(first, first + count)), [mix64(key) for key in range(100 * count)]
        slot_grid = grid_of(dict.fromkeys(names, 1.0))
        before = [slot_grid.find(key) for key in keys]
        for number in range(first + count, first + count + 20):
            removed = names.pop(random.randrange(len(names)))
            names.append(number)
            for name, change in ((removed, None), (number, (to_weight_units(1.0), number))):
                size = len(slot_grid)
                slot_grid.update({name.to_bytes(6, "big"): change})
                after = [slot_grid.find(key) for key in keys]
                moved_ratio += sum(
                    previous != current for previous, current in zip(before, after, strict=True)
                ) / len(keys)
                expected_ratio += 1 / max(size, len(slot_grid))
                before = after
    assert moved_ratio <= 1.1 * expected_ratio


@pytest.mark.parametrize("count", [30, 126, 250])
def test_a_list_that_grows_by_six_moves_few_other_keys(count: int) -> None:
    """Guards against a grid that is resized near a common list size, which moves most keys."""
    slot_grid = grid_of(dict.fromkeys(range(count), 1.0))
    keys = [mix64(key) for key in range(100 * count)]
    before = [slot_grid.find(key) for key in keys]
    slot_grid.update(
        {number.to_bytes(6, "big"): (to_weight_units(1.0), number) for number in range(count, count + 6)}
    )
    moved_ratio = sum(
        previous != slot_grid.find(key) for previous, key in zip(before, keys, strict=True)
    ) / len(keys)
    assert moved_ratio <= 1.3 * 6 / (count + 6)


def test_more_weight_moves_keys_to_that_member_only() -> None:
    """Only a few keys move elsewhere, because of displaced claims."""
    slot_grid = grid_of(dict.fromkeys(range(60), 1.0))
    keys = [mix64(key) for key in range(12_000)]
    before = [slot_grid.find(key) for key in keys]
    slot_grid.update({(7).to_bytes(6, "big"): (to_weight_units(1.5), 7)})
    changed = [
        (previous, current)
        for previous, current in zip(before, map(slot_grid.find, keys), strict=True)
        if previous != current
    ]
    # The new claim of member 7 may displace another claim.
    assert sum(current == 7 for _, current in changed) >= 0.9 * len(changed)
    assert 0 < len(changed) < 1.1 * 12_000 * 0.5 / 60.5 + 40


def test_very_different_weights_need_few_slots_and_few_probes() -> None:
    """The weights of the members differ by a factor of 1e18."""
    slot_grid = grid_of({0: 1e9, **dict.fromkeys(range(1, 300), 1e-9)})
    assert len(slot_grid._slots) <= 3 * 300
    assert Counter(slot_grid.find(mix64(key)) for key in range(2000))[0] > 1990
    assert max(count_bytecodes(lambda key=key: slot_grid.find(mix64(key))) for key in range(200)) < 6000


CHANGE = st.tuples(st.integers(0, 30), st.sampled_from([None, 0.1, 1.0, 1.0, 1.0, 2.5, 1e-9, 1e9]))


@profile(max_examples=60, deadline=None)
@given(st.lists(CHANGE, max_size=80), st.integers(1, 5), st.randoms(use_true_random=False))
def test_the_result_depends_on_the_members_and_not_on_the_order_of_changes(
    changes: list[tuple[int, float | None]], batch_size: int, random: Random
) -> None:
    """An index that is built from the final members in another order gives the same results."""
    index: CandidateIndex[int] = CandidateIndex(1)
    members: dict[bytes, tuple[int, float, int] | None] = {}
    for first in range(0, len(changes), batch_size):
        batch = {
            name.to_bytes(6, "big"): None if weight is None else (name % 3, weight, name)
            for name, weight in changes[first : first + batch_size]
        }
        members.update(batch)
        index.update(batch)
    items = [(name, change) for name, change in members.items() if change is not None]
    random.shuffle(items)
    rebuilt_index: CandidateIndex[int] = CandidateIndex(1)
    rebuilt_index.update(dict(items))
    for key in range(60):
        for prefer_own_zone in (False, True):
            assert index.find(mix64(key), prefer_own_zone) == rebuilt_index.find(mix64(key), prefer_own_zone)
    assert len(index) == len(items)
    if not items:
        assert index.find(1, True) is None


@profile(max_examples=60, deadline=None)
@given(st.lists(CHANGE, max_size=60))
def test_the_invariants_of_the_grid_hold(changes: list[tuple[int, float | None]]) -> None:
    """Each claim occupies the first slot of its sequence without a claim of lower rank, and marks it."""
    slot_grid: SlotGrid[int] = SlotGrid()
    for name, weight in changes:
        slot_grid.update(
            {name.to_bytes(6, "big"): None if weight is None else (to_weight_units(weight), name)}
        )
        claims = [claim for claims_of_member in slot_grid._claims.values() for claim in claims_of_member]
        mask = slot_grid._mask
        assert len(slot_grid._slots) == len(claims) == slot_grid._claim_count
        assert sum(slot_grid._occupied[: mask + 1]) == len(claims)
        for claim in claims:
            assert slot_grid._slots[claim.slot(claim.probe, mask)] is claim
            for probe in range(claim.probe):
                slot = claim.slot(probe, mask)
                assert slot_grid._slots[slot].rank < claim.rank and claim in slot_grid._displaced[slot]
        assert sum(map(len, slot_grid._displaced.values())) == sum(claim.probe for claim in claims)
        assert slot_grid.total_units == sum(units for units, _ in slot_grid._members.values())
