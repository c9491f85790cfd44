"""Headers that apply to one connection only are not forwarded (RFC 9110, section 7.6.1)."""

from __future__ import annotations

from rig import Rig, Server, answer, configuration, request, respond_with, run


def test_headers_that_a_connection_header_names_are_not_forwarded() -> None:
    """A header named in Connection, here X-Hop, is removed from requests and from responses."""

    async def test() -> None:
        script = respond_with(answer(Connection="keep-alive, X-Hop", X_Hop="1"))
        async with Server("s-1", script) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            response = await client.exchange(request(Connection="keep-alive, X-Hop", X_Hop="1"))
            assert "x-hop" not in server.seen[0].headers
            assert "x-hop" not in response.headers

    run(test())
