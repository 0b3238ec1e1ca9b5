"""The broker with stand-in hosts on virtual time, without faults."""

from __future__ import annotations

import json

from heathwell.testing.standins.data import generate_record

from .fleet import World


def test_a_multi_get_of_several_classes_is_answered_in_the_order_of_its_keys():
    world = World()

    def main():
        client = yield from world.client()
        keys = ["price:tea", "sale:anna:17", "nowhere:1", "report:anna,bo:2026-11-28", "sale:anna:99999"]
        values, end = yield from client.get(*keys)
        assert end == "END" and list(values) == [keys[0], keys[1], keys[3]]
        sale = json.loads(values["sale:anna:17"][1])
        assert sale["cents"] == generate_record("anna", "17").cents and sale["whole"] is True
        price = json.loads(values["price:tea"][1])
        assert price["coverage"]["parts"] == [6, 8] and price["whole"] and values["price:tea"][0] == 0
        report = json.loads(values["report:anna,bo:2026-11-28"][1])
        assert report["coverage"]["items"] == [5, 5] and len(report["items"]) == 15

    world.run(main())
    finals = world.events_of("final")
    assert len(finals) == 4 and len(world.events_of("take")) == 4
