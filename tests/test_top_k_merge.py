"""The top-k merge: comparison with brute force in any order of parts, superseded parts, malformed rows."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathwell.service.merging import MalformedRowsError, Row, TopKMerge, id_rank

SCORES = st.sampled_from([-1.0, 0.0, 0.25, 0.5, 0.5, 1.0])  # few values, so that ties occur
SHARDS = st.dictionaries(st.one_of(st.integers(0, 40), st.sampled_from("abcd")), SCORES, max_size=12)


def ranked(rows):
    """Return rows sorted by descending score, then by id."""
    return sorted(rows, key=lambda row: (-row.score, id_rank(row.id)))


def shard_rows(shard, scores):
    """Return a shard's rows; an id that several shards hold has the score of its first occurrence."""
    return [Row(point, scores.setdefault(point, score)) for point, score in shard.items()]


@settings(max_examples=150)
@given(
    st.lists(SHARDS, min_size=1, max_size=5),
    st.integers(1, 6),
    st.integers(0, 5),
    st.one_of(st.none(), SCORES),
    st.randoms(),
)
def test_the_merge_equals_brute_force_in_any_order_of_parts(shards, limit, offset, threshold, order):
    scores: dict = {}
    held = [shard_rows(shard, scores) for shard in shards]
    everything = {row.id: row for rows in held for row in rows if threshold is None or row.score >= threshold}
    expected = ranked(everything.values())[offset : offset + limit]
    merge = TopKMerge([limit], [offset], [threshold])
    parts = list(enumerate(held))
    order.shuffle(parts)
    for name, rows in parts:
        best = ranked(row for row in rows if threshold is None or row.score >= threshold)
        merge.add_rows(str(name), [best[: limit + offset]], point_count=len(rows))
    assert merge.result(0, [], 0).rows == expected


@settings(max_examples=150)
@given(st.lists(SHARDS, min_size=2, max_size=6), st.integers(1, 4), st.data())
def test_a_superseded_part_could_not_have_changed_the_rows(shards, limit, data):
    scores: dict = {}
    held = [shard_rows(shard, scores) for shard in shards]
    merge = TopKMerge([limit], [0], [None])
    for name, rows in enumerate(held):
        best = max((row.score for row in rows), default=-math.inf)
        merge.add_bounds(str(name), [best + data.draw(st.sampled_from([0.0, 0.1]))])
    arrived_count = data.draw(st.integers(1, len(held) - 1))
    for name in range(arrived_count):
        merge.add_rows(str(name), [ranked(held[name])[:limit]], point_count=len(held[name]))
    in_flight = [str(name) for name in range(arrived_count, len(held))]
    superseded = set(merge.take_superseded())
    assert superseded <= set(in_flight) and not merge.take_superseded()
    before = merge.result(0, [], 0).rows
    for name in superseded:
        merge.add_rows(name, [ranked(held[int(name)])[:limit]])
    assert merge.result(0, [], 0).rows == before
    if not superseded and len(before) == limit:
        assert all(
            max(row.score for row in held[int(name)]) + 0.2 >= before[-1].score
            for name in in_flight
            if held[int(name)]
        )


@pytest.mark.parametrize(
    ("rows", "error"),
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
def test_malformed_rows_are_rejected_and_not_merged(rows, error):
    merge = TopKMerge([2], [1], [0.2])
    merge.add_bounds("a", [0.95])
    with pytest.raises(MalformedRowsError, match=error):
        merge.add_rows("a", [rows])
    assert merge.result(0, ["a"], 10).rows == []
    with pytest.raises(MalformedRowsError, match="lists"):
        merge.add_rows("a", [[], []])
    with pytest.raises(MalformedRowsError, match="bounds"):
        merge.add_bounds("a", [math.nan])


def test_recall_counts_missing_parts_unless_their_bounds_exclude_them():
    merge = TopKMerge([2], [0], [None])
    merge.add_rows("a", [[Row(1, 0.9), Row(2, 0.8)]], point_count=100)
    assert merge.result(0, ["b", "c"], merge.mean_point_count()).recall == pytest.approx(1 / 3)
    merge.add_bounds("b", [0.5])
    assert merge.result(0, ["b", "c"], merge.mean_point_count()).recall == pytest.approx(0.5)
    assert merge.take_superseded() == ["b"]  # c has sent no bound
    merge.add_rows("c", [[Row(3, 0.85)]], point_count=100, recall=0.9)
    assert merge.result(0, ["b"], 100).recall == pytest.approx(0.95)
    assert [row.id for row in merge.result(0, [], 0).rows] == [1, 3]


def test_the_newer_version_of_a_row_replaces_the_older():
    merge = TopKMerge([2], [0], [None])
    merge.add_rows("a", [[Row(1, 0.9, version=1), Row(2, 0.3)]])
    merge.add_rows("b", [[Row(3, 0.5), Row(1, 0.4, version=2)]])
    assert [(row.id, row.score) for row in merge.result(0, [], 0).rows] == [(3, 0.5), (1, 0.4)]


def test_a_part_of_a_batch_is_superseded_only_if_all_its_searches_are():
    merge = TopKMerge([1, 1], [0, 0], [None, 0.7])
    merge.add_rows("a", [[Row(1, 0.9)], []], point_count=5)
    merge.add_bounds("b", [0.5, 0.8])
    assert not merge.take_superseded()
    merge.add_bounds("c", [0.5, 0.6])  # below the threshold, though there are no rows yet
    merge.add_bounds("d", [0.5, 0.6])
    merge.add_bounds("d", [0.95, 0.6])  # the weaker bound of another attempt counts
    assert merge.take_superseded() == ["c"]
