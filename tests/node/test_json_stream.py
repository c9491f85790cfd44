"""Tests of splitting the stream of a discovery watch into JSON objects."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from rig import run

from moleport.node import discovery_watch as discovery
from moleport.node.hold_detector import HoldDetector
from moleport.telemetry import Telemetry

NAMES = st.text(alphabet='{}[]"\\ab\n,:é', max_size=8)
OBJECTS = st.dictionaries(NAMES, NAMES | st.lists(st.dictionaries(NAMES, NAMES), max_size=2))


@settings(deadline=None)
@given(st.lists(OBJECTS, max_size=4), st.integers(1, 40), st.sampled_from([None, 1]))
def test_objects_are_found_wherever_the_stream_is_split(
    objects: list[Any], piece_bytes: int, indent: int | None
) -> None:
    """The keys and values contain braces, quotes and backslashes."""

    class Owner:
        response_timeout_s = 60.0
        hold_detector: HoldDetector
        seen: list[Any]

        def on_json_object(self, _: discovery.WatchConnection, data: bytes) -> None:
            self.seen.append(json.loads(data))

        def on_data(self, _: discovery.WatchConnection, has_update: bool) -> None:
            pass

        def is_open(self, _: discovery.WatchConnection) -> bool:
            return False

    async def test() -> None:
        owner = Owner()
        source = discovery.DiscoverySource(("127.0.0.1", 1), version=0)
        owner.seen = []
        owner.hold_detector = HoldDetector(Telemetry(trace=False))
        watch = discovery.WatchConnection(owner, source)  # type: ignore[arg-type]
        data = b"\n".join(json.dumps(item, indent=indent, ensure_ascii=False).encode() for item in objects)
        for begin in range(0, len(data), piece_bytes):
            watch.on_body(data[begin : begin + piece_bytes])
        watch.close()
        assert owner.seen == objects

    run(test())
