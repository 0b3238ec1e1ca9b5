"""Filters and score bounds of one shard, compared with an evaluation point by point."""

from __future__ import annotations

import numpy as np
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from heathwell.service.vectors.filter_checks import FilterError, check_filter
from heathwell.service.vectors.filter_masks import evaluate_filter
from heathwell.service.vectors.payload_columns import PayloadColumns
from heathwell.service.vectors.search_messages import SearchParameters, SearchRequest
from heathwell.testing.standins.vectors import GeneratedCollection, generate_shard

PAYLOADS = st.lists(
    st.fixed_dictionaries(
        {},
        optional={
            "a": st.one_of(
                st.none(),
                st.booleans(),
                st.integers(0, 3),
                st.sampled_from("xy"),
                st.lists(st.integers(0, 3), max_size=2),
            ),
            "n": st.fixed_dictionaries({}, optional={"b": st.integers(0, 3)}),
        },
    ),
    min_size=1,
    max_size=12,
)


@hypothesis_settings(max_examples=150)
@given(PAYLOADS, st.sampled_from(["a", "n.b"]), st.sampled_from([0, 1, True, "x"]))
def test_filters_match_the_same_points_as_their_conditions_point_by_point(payloads, key, value):
    def field_value(payload):
        for name in key.split("."):
            if not isinstance(payload, dict) or name not in payload:
                return None
            payload = payload[name]
        return payload

    def equals_value(candidate):
        return type(candidate) is type(value) and candidate == value

    def any_matches(predicate, field):
        return (
            any(map(predicate, field)) if isinstance(field, list) else field is not None and predicate(field)
        )

    def is_in_range(candidate):
        return isinstance(candidate, int) and not isinstance(candidate, bool) and 1 <= candidate < 3

    columns = PayloadColumns(list(range(len(payloads))), payloads)

    def mask(condition):
        check_filter({"must": condition})
        return evaluate_filter({"must": condition}, columns).tolist()

    values = [field_value(payload) for payload in payloads]
    match = {"key": key, "match": {"value": value}}
    assert mask(match) == [any_matches(equals_value, field) for field in values]
    assert evaluate_filter({"must_not": [match]}, columns).tolist() == [
        not any_matches(equals_value, field) for field in values
    ]
    if not isinstance(value, bool):
        assert mask({"key": key, "match": {"except": [value]}}) == [
            any_matches(lambda candidate: not equals_value(candidate), field) for field in values
        ]
    in_range = [any_matches(is_in_range, field) for field in values]
    assert mask({"key": key, "range": {"gte": 1, "lt": 3}}) == in_range
    assert mask({"is_empty": {"key": key}}) == [field is None or field == [] for field in values]
    both = {"min_should": {"conditions": [match, {"key": key, "range": {"gte": 1, "lt": 3}}], "min_count": 2}}
    assert evaluate_filter(both, columns).tolist() == [
        is_match and any_matches(equals_value, field)
        for is_match, field in zip(in_range, values, strict=True)
    ]


def test_filters_are_limited_and_checked():
    deep: dict = {"must": []}
    for _ in range(12):
        deep = {"must": [deep]}
    for condition, error in (
        (deep, "nested"),
        ({"must": [{"key": "a", "is_null": True}] * 300}, "conditions"),
        ({"must": [{"key": "a"}]}, "names one of"),
        ({"musty": []}, "musty"),
        ({"must": [{"key": "a", "match": {"value": 1.5}}]}, "match"),
    ):
        with pytest.raises(FilterError, match=error):
            check_filter(condition)


@hypothesis_settings(max_examples=40, deadline=None)
@given(st.sampled_from(["cosine", "dot", "euclid"]), st.integers(0, 10_000), st.integers(1, 30))
def test_no_row_scores_above_the_bound_of_its_shard(distance, seed, limit):
    shard = generate_shard(GeneratedCollection("bounded", 6, distance, "exact", 4, 50, 0.0, 0.3), seed % 4)
    rng = np.random.default_rng(seed)
    raw = rng.normal(0, rng.uniform(0.1, 4), (2, 6)).astype("<f4")
    best = shard.score_bounds(shard.decode_queries(raw.tobytes(), 2))
    answer = shard.search(SearchRequest("bounded", raw.tobytes(), [SearchParameters(limit)] * 2))
    for rows, bound in zip(answer.lists, best, strict=True):
        assert rows[0].score <= bound + 1e-4 * max(1, abs(bound)) and len(rows) == min(limit, 50)
