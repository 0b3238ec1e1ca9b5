"""The merge: any order of parts gives brute force's rows, moot parts can't change them, malformed rows are
caught.
"""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathwell.service.merging import MalformedRowsError, Row, TopKMerge, id_rank

SCORES = st.sampled_from([-1.0, 0.0, 0.25, 0.5, 0.5, 1.0])  # many that tie
ROWS = st.dictionaries(st.one_of(st.integers(0, 40), st.sampled_from("abcd")), SCORES, max_size=12)


def ranked(rows):
    return sorted(rows, key=lambda row: (-row.score, id_rank(row.id)))


def rows_of(shard, overlap):
    """A shard's rows; an id that several shards hold has one score."""
    return [Row(point, overlap.setdefault(point, score)) for point, score in shard.items()]


@settings(max_examples=150)
@given(
    st.lists(ROWS, min_size=1, max_size=5),
    st.integers(1, 6),
    st.integers(0, 5),
    st.one_of(st.none(), SCORES),
    st.randoms(),
)
def test_any_order_of_parts_gives_brute_forces_rows(shards, limit, offset, threshold, order):
    scores: dict = {}
    held = [rows_of(shard, scores) for shard in shards]
    everything = {row.id: row for rows in held for row in rows if threshold is None or row.score >= threshold}
    want = ranked(everything.values())[offset : offset + limit]
    top = TopKMerge([limit], [offset], [threshold])
    parts = list(enumerate(held))
    order.shuffle(parts)
    for name, rows in parts:
        best = ranked(row for row in rows if threshold is None or row.score >= threshold)
        top.add_rows(str(name), [best[: limit + offset]], point_count=len(rows))
    assert top.result(0, [], 0).rows == want


@settings(max_examples=150)
@given(st.lists(ROWS, min_size=2, max_size=6), st.integers(1, 4), st.data())
def test_a_part_called_moot_could_not_have_changed_the_rows(shards, limit, data):
    scores: dict = {}
    held = [rows_of(shard, scores) for shard in shards]
    top = TopKMerge([limit], [0], [None])
    for name, rows in enumerate(held):
        best = max((row.score for row in rows), default=-math.inf)
        top.add_bounds(str(name), [best + data.draw(st.sampled_from([0.0, 0.1]))])
    come = data.draw(st.integers(1, len(held) - 1))
    for name in range(come):
        top.add_rows(str(name), [ranked(held[name])[:limit]], point_count=len(held[name]))
    out = [str(n) for n in range(come, len(held))]
    moot = set(top.take_superseded())
    assert moot <= set(out) and not top.take_superseded()
    before = top.result(0, [], 0).rows
    for name in moot:
        top.add_rows(name, [ranked(held[int(name)])[:limit]])
    assert top.result(0, [], 0).rows == before
    if not moot and len(before) == limit:
        assert all(
            max(row.score for row in held[int(n)]) + 0.2 >= before[-1].score for n in out if held[int(n)]
        )


@pytest.mark.parametrize(
    ("rows", "why"),
    [
        ([Row(1, 0.1), Row(2, 0.9)], "order"),
        ([Row(2, 0.5), Row(1, 0.5)], "order"),
        ([Row(n, 0.5 - n / 10) for n in range(4)], "3 were asked"),
        ([Row(1, math.nan)], "no number"),
        ([Row(1, 0.9), Row(1, 0.8)], "twice"),
        ([Row(1, 0.96)], "bound"),
        ([Row(1, 0.0)], "threshold"),
        ([Row(1, math.inf)], "no number"),
    ],
)
def test_rows_that_no_sound_host_gives_are_caught(rows, why):
    top = TopKMerge([2], [1], [0.2])
    top.add_bounds("a", [0.95])
    with pytest.raises(MalformedRowsError, match=why):
        top.add_rows("a", [rows])
    assert top.result(0, ["a"], 10).rows == []
    with pytest.raises(MalformedRowsError, match="lists"):
        top.add_rows("a", [[], []])
    with pytest.raises(MalformedRowsError, match="bounds"):
        top.add_bounds("a", [math.nan])


def test_recall_counts_what_is_out_unless_its_bound_rules_it_out():
    top = TopKMerge([2], [0], [None])
    top.add_rows("a", [[Row(1, 0.9), Row(2, 0.8)]], point_count=100)
    assert top.result(0, ["b", "c"], top.usual_point_count()).recall == pytest.approx(1 / 3)
    top.add_bounds("b", [0.5])
    assert top.result(0, ["b", "c"], top.usual_point_count()).recall == pytest.approx(0.5)
    assert top.take_superseded() == ["b"]  # c has said nothing
    top.add_rows("c", [[Row(3, 0.85)]], point_count=100, recall=0.9)
    assert top.result(0, ["b"], 100).recall == pytest.approx(0.95)
    assert [row.id for row in top.result(0, [], 0).rows] == [1, 3]


def test_of_an_id_in_two_versions_the_newer_stands():
    top = TopKMerge([2], [0], [None])
    top.add_rows("a", [[Row(1, 0.9, version=1), Row(2, 0.3)]])
    top.add_rows("b", [[Row(3, 0.5), Row(1, 0.4, version=2)]])
    assert [(row.id, row.score) for row in top.result(0, [], 0).rows] == [(3, 0.5), (1, 0.4)]


def test_a_batch_is_moot_only_when_all_its_searches_are():
    top = TopKMerge([1, 1], [0, 0], [None, 0.7])
    top.add_rows("a", [[Row(1, 0.9)], []], point_count=5)
    top.add_bounds("b", [0.5, 0.8])
    assert not top.take_superseded()
    top.add_bounds("c", [0.5, 0.6])  # under the threshold, though nothing has been found
    top.add_bounds("d", [0.5, 0.6])
    top.add_bounds("d", [0.95, 0.6])  # another attempt's weaker word stands
    assert top.take_superseded() == ["c"]
