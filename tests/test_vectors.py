"""The vector server as used by `qdrant-client` over sockets, compared with brute force."""

from __future__ import annotations

import json
import socket
import time

import httpx
import pytest
from qdrant_client import models
from qdrant_client.http.exceptions import UnexpectedResponse

from heathwell.codec.http import Response
from heathwell.codec.http_server import ServerSide
from heathwell.testing.audit import judge
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.standins.vectors import shard_from_settings

from .fleet import World
from .vector_fleet import (
    DEMO_SETTINGS,
    SHARDS,
    assert_same_rows,
    brute_force,
    post,
    random_vector,
    running,
)


@pytest.fixture(scope="module")
def fleet():
    """Return a running fleet, which the tests of this module share."""
    with running() as running_fleet:
        yield running_fleet


@pytest.mark.parametrize(("name", "size"), [("prices", 16), ("far", 8), ("dots", 8)])
def test_answers_equal_brute_force_over_all_shards(fleet, name, size):
    client = fleet.client
    is_complete = name != "dots"
    for seed in range(6):
        query = random_vector(seed, size)
        points = client.query_points(name, query=query, limit=7, offset=seed, with_payload=True).points
        if is_complete:
            assert_same_rows(points, brute_force(fleet.service_settings, name, query, 7, seed))
        assert points == sorted(
            points, key=lambda point: (point.score if name == "far" else -point.score, point.id)
        )
        assert all(point.payload["goods"] for point in points)
    if is_complete:
        threshold = brute_force(fleet.service_settings, name, query, 10)[4][1]
        threshold += 1e-6 if name == "far" else -1e-6
        assert_same_rows(
            client.query_points(name, query=query, limit=10, score_threshold=threshold).points,
            brute_force(fleet.service_settings, name, query, 5),
        )
        assert client.query_points(name, query=query, offset=5000, limit=10).points == []


EEL_AND_DILL_FILTER = models.Filter(
    must=[
        models.FieldCondition(key="goods", match=models.MatchAny(any=["eel", "dill"])),
        models.FieldCondition(key="cents", range=models.Range(gte=500, lt=9000)),
    ],
    must_not=[models.FieldCondition(key="stall.covered", match=models.MatchValue(value=True))],
)


def matches_eel_and_dill_filter(payload):
    """Return whether a payload meets EEL_AND_DILL_FILTER."""
    return (
        payload["goods"] in ("eel", "dill")
        and 500 <= payload["cents"] < 9000
        and not payload["stall"]["covered"]
    )


def test_filters_select_points_by_payload_and_id(fleet):
    client = fleet.client
    query = random_vector(9, 16)
    assert_same_rows(
        client.query_points("prices", query=query, query_filter=EEL_AND_DILL_FILTER, limit=6).points,
        brute_force(fleet.service_settings, "prices", query, 6, keep=matches_eel_and_dill_filter),
    )
    none = models.Filter(must=[models.FieldCondition(key="goods", match=models.MatchValue(value="gold"))])
    assert client.query_points("prices", query=query, query_filter=none).points == []
    shard = shard_from_settings(fleet.service_settings.collections[0], 3, SHARDS)
    by_id = models.Filter(must=[models.HasIdCondition(has_id=[shard.ids[5]])])  # most shards match nothing
    [point] = client.query_points("prices", query=query, query_filter=by_id, with_vectors=True).points
    assert point.id == shard.ids[5] and point.vector == pytest.approx(shard.stored_vectors[5].tolist())


def test_payload_selectors_include_and_exclude_fields(fleet):
    client = fleet.client
    query = random_vector(9, 16)
    for selector in (["cents"], models.PayloadSelectorInclude(include=["cents"])):
        [point] = client.query_points("prices", query=query, limit=1, with_payload=selector).points
        assert set(point.payload) == {"cents"}
    [point] = client.query_points(
        "prices", query=query, limit=1, with_payload=models.PayloadSelectorExclude(exclude=["cents"])
    ).points
    assert "goods" in point.payload and "cents" not in point.payload


def test_each_search_of_a_batch_has_its_own_limit_and_filter(fleet):
    client = fleet.client
    queries = [random_vector(number, 16) for number in range(12)]
    answers = client.query_batch_points(
        "prices",
        requests=[
            models.QueryRequest(
                query=query, limit=1 + number % 4, filter=EEL_AND_DILL_FILTER if number % 3 == 0 else None
            )
            for number, query in enumerate(queries)
        ],
    )
    for number, (query, answer) in enumerate(zip(queries, answers, strict=True)):
        keep = matches_eel_and_dill_filter if number % 3 == 0 else lambda _payload: True
        assert_same_rows(
            answer.points, brute_force(fleet.service_settings, "prices", query, 1 + number % 4, keep=keep)
        )
    assert client.query_batch_points("prices", requests=[]) == []


def test_the_older_search_request_is_answered(fleet):
    query = random_vector(9, 16)
    response = httpx.post(
        f"{fleet.base_url}/collections/prices/points/search",
        json={"vector": query, "limit": 2, "params": {"exact": True}},
    ).json()
    assert [point["id"] for point in response["result"]] == [
        point for point, _ in brute_force(fleet.service_settings, "prices", query, 2)
    ]


def test_collections_are_listed_and_described(fleet):
    client = fleet.client
    client.query_points("prices", query=random_vector(1, 16))  # a shard reports its points with an answer
    assert client.collection_exists("prices") and not client.collection_exists("nope")
    description = client.get_collection("prices")
    assert description.points_count == SHARDS * 180 and description.config.params.vectors.size == 16
    assert {collection.name for collection in client.get_collections().collections} == {
        "prices",
        "far",
        "dots",
        "rough",
    }


def test_an_approximate_index_states_its_recall(fleet):
    query = random_vector(3, 16)
    approximate = httpx.post(
        f"{fleet.base_url}/collections/rough/points/query", json={"query": query, "limit": 10}
    ).json()
    assert 0.5 < approximate["heathwell"]["recall"] <= 1 and approximate["heathwell"]["whole"]
    exact = httpx.post(
        f"{fleet.base_url}/collections/rough/points/query",
        json={"query": query, "limit": 10, "params": {"exact": True}},
    ).json()
    expected = [point for point, _ in brute_force(fleet.service_settings, "rough", query, 10)]
    assert (
        exact["heathwell"]["recall"] == 1 and [point["id"] for point in exact["result"]["points"]] == expected
    )
    assert len({point["id"] for point in approximate["result"]["points"]} & set(expected)) >= 7


@pytest.mark.parametrize(
    ("body", "status", "error"),
    [
        ({"query": [1.0] * 15}, 400, "expected dim: 16, got 15"),
        ({"query": [0.0] * 16}, 400, "zero vector"),
        ({"query": [1.0] * 15 + ["x"]}, 400, "query[15]"),
        ({"query": [1e39] * 16}, 400, "query[0]"),
        ({"query": 17}, 400, "points by id"),
        ({"query": {"recommend": {}}}, 400, "recommend"),
        ({"query": [1.0] * 16, "limit": 0}, 422, "limit: value 0"),
        ({"query": [1.0] * 16, "limit": "x"}, 400, "$.limit"),
        ({"query": [1.0] * 16, "offset": -1}, 422, "offset"),
        ({"query": [1.0] * 16, "limit": 99999}, 400, "limit"),
        ({"query": [1.0] * 16, "prefetch": []}, 400, "prefetch"),
        ({"query": [1.0] * 16, "using": "v"}, 400, "using"),
        ({"query": [1.0] * 16, "lmit": 3}, 400, "lmit"),
        ({"query": [1.0] * 16, "filter": {"must": [{"key": "a", "geo_radius": {}}]}}, 400, "filter.must[0]"),
        ({"query": [1.0] * 16, "with_payload": {"include": [], "exclude": []}}, 400, "with_payload"),
    ],
)
def test_invalid_input_is_named_in_the_error_format_of_the_api(fleet, body, status, error):
    response = httpx.post(f"{fleet.base_url}/collections/prices/points/query", json=body)
    assert response.status_code == status and error in response.json()["status"]["error"]


def test_unknown_names_and_methods_and_invalid_json_have_their_status(fleet):
    client = fleet.client
    with pytest.raises(UnexpectedResponse, match="(?s)404.*nope"):
        client.query_points("nope", query=[1.0])
    with pytest.raises(UnexpectedResponse, match="(?s)403"):
        client.delete_collection("prices")
    points_url = f"{fleet.base_url}/collections/prices/points"
    assert httpx.get(f"{points_url}/query").status_code == 405
    assert httpx.get(f"{fleet.base_url}/nothing").status_code == 404
    for content in (b'{"query": [NaN]}', b"{", b"[]"):
        response = httpx.post(f"{points_url}/query", content=content)
        assert response.status_code == 400 and "JSON" in response.json()["status"]["error"]
    response = httpx.post(f"{points_url}/query?timeout=soon", json={"query": [1.0] * 16})
    assert response.status_code == 400 and "timeout" in response.json()["status"]["error"]
    searches = [{"query": [1.0] * 16}, {"query": [1.0] * 3}]
    response = httpx.post(f"{points_url}/query/batch", json={"searches": searches})
    assert response.status_code == 400 and "searches[1].query" in response.json()["status"]["error"]


def raw_exchange(fleet, data, pause=0.0, *, end=False):
    """Send raw bytes; return what the server sends until it closes or is silent for 2 s.

    With ``end`` the connection is closed right after the request, and nothing is returned.
    """
    host, port = fleet.broker.vector_address.split(":")
    with socket.create_connection((host, int(port)), 5) as connection:
        for piece in data if isinstance(data, list) else [data]:
            connection.sendall(piece)
            time.sleep(pause)
        if end:
            return b""
        connection.settimeout(2)
        received = b""
        while True:
            try:
                chunk = connection.recv(65_536)
            except TimeoutError:
                return received
            if not chunk:
                return received
            received += chunk


def test_http_requests_may_be_pipelined_chunked_or_expect_continue_and_are_limited(fleet):
    body = json.dumps({"query": [1.0] * 16, "limit": 1}).encode()
    path = b"POST /collections/prices/points/query HTTP/1.1\r\nhost: x\r\n"
    sized = path + b"content-length: %d\r\n" % len(body)
    chunks = b"%x\r\n%s\r\n" % (20, body[:20]) + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body) - 20, body[20:])
    last = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    response = raw_exchange(
        fleet, sized + b"\r\n" + body + path + b"transfer-encoding: chunked\r\n\r\n" + chunks + last
    )
    assert response.count(b"HTTP/1.1 200") == 3 and response.count(b"x-heathwell-coverage: whole=yes") == 2
    response = raw_exchange(fleet, [sized + b"expect: 100-continue\r\nconnection: close\r\n\r\n", body], 0.05)
    assert response.startswith(b"HTTP/1.1 100") and b"HTTP/1.1 200" in response
    too_long = path + b"content-length: 2000000\r\nexpect: 100-continue\r\n\r\n"
    assert b"HTTP/1.1 413" in (response := raw_exchange(fleet, too_long)) and b"HTTP/1.1 100" not in response
    grown = path + b"transfer-encoding: chunked\r\n\r\n" + b"100000\r\n" + b" " * 0x100000 + b"\r\n1\r\n \r\n"
    assert b"HTTP/1.1 413" in raw_exchange(fleet, grown)
    assert b"HTTP/1.1 431" in raw_exchange(fleet, path + b"x: " + b"y" * 70_000 + b"\r\n\r\n")
    assert b"HTTP/1.1 408" in raw_exchange(fleet, path)  # the request is incomplete after the time limit
    last_job = fleet.broker.broker.last_job
    raw_exchange(fleet, path + b"transfer-encoding: chunked\r\n\r\n20\r\n" + body[:10], end=True)
    assert b"HTTP/1.1 400" in raw_exchange(fleet, b"nonsense\r\n\r\n")
    assert fleet.broker.broker.last_job == last_job  # an incomplete body starts no query


def test_pipelined_requests_are_served_one_after_another():
    side = ServerSide()
    first = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
    second = b"GET /b HTTP/1.1\r\nhost: x\r\n\r\n"
    events = side.feed(first + second)
    assert next(events).path == "/a" and side.served == 1
    assert b"200" in side.respond(Response(200, b""))
    assert next(events).path == "/b" and side.served == 2


def test_a_search_without_one_shard_is_answered_in_time_and_marked_partial():
    with running() as fleet:
        query = random_vector(1, 16)
        fleet.client.query_points("prices", query=query)
        fleet.inject_faults([0, 1, 2], "silent", seconds=20)  # all replicas of shard 0, some of other shards
        started_at = time.monotonic()
        response = httpx.post(
            f"{fleet.base_url}/collections/prices/points/query", json={"query": query, "limit": 10}, timeout=5
        )
        assert time.monotonic() - started_at < 2.0
        answer = response.json()
        assert response.status_code == 200 and not answer["heathwell"]["whole"]
        assert 0 in answer["heathwell"]["missing"] and 0.3 < answer["heathwell"]["recall"] < 1
        assert "whole=no" in response.headers["x-heathwell-coverage"]
        true_scores = dict(brute_force(fleet.service_settings, "prices", query, 10_000))
        for point in answer["result"]["points"]:
            assert point["score"] == pytest.approx(true_scores[point["id"]], abs=1e-4)


def test_malformed_rows_count_as_an_error_of_their_host_and_are_not_merged():
    with running() as fleet:
        client = fleet.client
        query = random_vector(1, 16)
        fleet.inject_faults([0], "spoil", seconds=20)
        fleet.inject_faults([1], "spoil", seconds=20, text="many")
        for seed in range(12):
            assert_same_rows(
                client.query_points("prices", query=random_vector(seed, 16), limit=5).points,
                brute_force(fleet.service_settings, "prices", random_vector(seed, 16), 5),
            )
        counts = fleet.broker.broker.counters
        assert (
            counts["malformed", "near"] > 0
            and counts["attempt", "near", "error"] >= counts["malformed", "near"]
        )
        with httpx.Client() as http_client:
            assert http_client.post(
                f"{fleet.base_url}/collections/prices/points/query", json={"query": query}
            ).json()["heathwell"]["whole"]


def test_equal_scores_are_returned_in_the_same_order_every_time(fleet):
    client = fleet.client
    queries = [random_vector(5, 16) for _ in range(8)]
    answers = [
        [(point.id, point.score) for point in client.query_points("prices", query=query, limit=40).points]
        for query in queries
    ]
    batch = client.query_batch_points(
        "prices", requests=[models.QueryRequest(query=query, limit=40) for query in queries]
    )
    answers += [[(point.id, point.score) for point in answer.points] for answer in batch]
    assert all(answer == answers[0] for answer in answers)
    ids = [point for point, _ in answers[0]]
    assert len(set(ids)) == 40  # a point that two shards hold is returned once


def test_parts_that_cannot_change_the_rows_are_superseded():
    text = DEMO_SETTINGS.replace(
        "(size 16) (points 150) (overlap 20%)", "(size 16) (points 150) (spread 5%)"
    ).replace("(work 2ms))\n(collection far", "(work 150ms))\n(collection far")
    with running(text) as fleet:
        spec = fleet.service_settings.collections[0]
        query = shard_from_settings(spec, 2, SHARDS).stored_vectors[7].tolist()
        fleet.inject_faults(range(6), "stall", seconds=0.0)
        for _ in range(6):
            answer = httpx.post(
                f"{fleet.base_url}/collections/prices/points/query", json={"query": query, "limit": 3}
            ).json()
            assert "result" in answer, answer
            assert [point["id"] for point in answer["result"]["points"]] == [
                point for point, _ in brute_force(fleet.service_settings, "prices", query, 3)
            ]
            assert answer["heathwell"]["whole"] and answer["heathwell"]["weight"] == 1
        assert fleet.broker.broker.counters["moot", "near"] > 0
        time.sleep(0.5)
        verdict = judge(from_lines(list(fleet.events)), slack=100_000)
        assert verdict.kept, verdict.breaches[:3]
        # The auditor reports a superseded part as a breach if its host had reported a better bound.
        for event in fleet.events:
            if event["ev"] == "bound":
                event["best"] = [2.0]
        assert {breach.rule for breach in judge(from_lines(list(fleet.events)), slack=100_000).breaches} == {
            5
        }


def test_a_search_without_enough_time_is_rejected_before_any_part_is_sent():
    """A search that can't be answered within its timeout must not cost the hosts any work.

    On virtual time hosts take exactly their work, so the result does not depend on the machine's speed.
    """
    slow_settings = DEMO_SETTINGS.replace("(work 2ms))\n(collection far", "(work 80ms))\n(collection far")
    world = World(text=slow_settings)
    url = "/collections/prices/points/query"
    query = {"query": random_vector(1, 16)}

    def main():
        for _ in range(3):
            assert (yield from post(world, url, query)).status == 200
        arrival_count = len(world.events_of("arrive"))
        response = yield from post(world, url, query, [("x-heathwell-timeout-ms", "30")])
        assert response.status == 503 and b"no time" in response.body
        assert len(world.events_of("arrive")) == arrival_count
        # A timeout chosen by the client is long enough: the request is no retry in the remaining time.
        for _ in range(3):
            response = yield from post(world, url + "?timeout=1", query)
            assert response.status == 200, response.body

    world.run(main())
    world.close()


def test_an_http_client_over_its_connection_limit_is_rejected():
    with running(
        DEMO_SETTINGS.replace("(vector (listen", "(limits (clients-an-address 2))\n(vector (listen")
    ) as fleet:
        host, port = fleet.broker.vector_address.split(":")
        connections = [socket.create_connection((host, int(port)), 5) for _ in range(2)]
        time.sleep(0.1)
        response = raw_exchange(fleet, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        assert b"HTTP/1.1 503" in response and b"too many connections" in response
        connections.pop().close()
        time.sleep(0.1)
        assert b"HTTP/1.1 200" in raw_exchange(
            fleet, b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        )
        connections.pop().close()
