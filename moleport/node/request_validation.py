"""What a client's request has to be before anything is done for it."""

from __future__ import annotations

import re
from http import HTTPStatus

from moleport.config.node_config import Config
from moleport.node.http_limits import MAX_BODY_BYTES
from moleport.node.parsed_request import API_PATH, READINESS_PATH, ParsedRequest
from moleport.policy.interface import Idempotency
from moleport.units import NS_PER_MS, NS_PER_US

DEADLINE_FORMAT = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
NS_PER_DEADLINE_UNIT = {b"m": NS_PER_MS, b"u": NS_PER_US}
REQUEST_ID_FORMAT = re.compile(rb"[0-9A-Za-z._:~-]{1,64}")


class InvalidRequestError(Exception):
    """Neither the request nor what follows it on its connection can be used."""

    def __init__(self, status: HTTPStatus, message: str) -> None:
        """Create an error that is answered with `status`; `message` says what is wrong with which value."""
        super().__init__(message)
        self.status = status


def validate_framing(request: ParsedRequest) -> None:
    """Check the announced length and transfer coding, once the head is read.

    The parser has rejected contradictory framing by then. Raises InvalidRequestError.
    """
    length = int(request.fields.get(b"content-length", b"0"))  # the parser lets only digits pass
    if length > MAX_BODY_BYTES:
        raise InvalidRequestError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body of {length} bytes, over {MAX_BODY_BYTES}"
        )
    coding = request.fields.get(b"transfer-encoding")
    if coding is not None and coding.lower() != b"chunked":
        raise InvalidRequestError(HTTPStatus.NOT_IMPLEMENTED, f"transfer coding {coding!r}")
    if request.method == b"GET" and (length or coding is not None):
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "GET with a body")


def validate_request(request: ParsedRequest, config: Config) -> None:
    """Check path, method, class, id and deadline, once the head is read; set what follows from them.

    Sets `path`, `class_index` and `timeout_ns`. Raises InvalidRequestError.
    """
    request.path = request.url.split(b"?", 1)[0]
    if request.path == READINESS_PATH:
        return
    if request.path != API_PATH:
        raise InvalidRequestError(HTTPStatus.NOT_FOUND, f"path {request.path!r}")
    if request.method not in (b"GET", b"POST"):
        raise InvalidRequestError(HTTPStatus.METHOD_NOT_ALLOWED, f"method {request.method!r}")
    fields = request.fields
    class_index = config.class_indices.get(fields.get(b"x-class", b""))
    if class_index is None:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, f"unknown class {fields.get(b'x-class')!r}")
    if REQUEST_ID_FORMAT.fullmatch(fields.get(b"x-request-id", b"")) is None:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, f"request id {fields.get(b'x-request-id')!r}")
    idempotency = config.policy_settings.classes[class_index].idempotency
    # A server goes by the method: it must not take the request for one of another idempotency.
    if (request.method == b"GET") is not (idempotency is Idempotency.IDEMPOTENT):
        raise InvalidRequestError(
            HTTPStatus.BAD_REQUEST, f"method {request.method!r} for a class that is {idempotency.name}"
        )
    if idempotency is Idempotency.IDEMPOTENCY_KEY and not fields.get(b"idempotency-key"):
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "no idempotency key for a class that requires it")
    request.class_index = class_index
    request.timeout_ns = config.max_deadlines_ns[class_index]
    if b"x-deadline" in fields:
        # No client waits for longer than its class does, and a request is remembered until its deadline.
        request.timeout_ns = min(request.timeout_ns, parse_deadline_ns(fields[b"x-deadline"]))


def parse_deadline_ns(text: bytes) -> int:
    """Return the span that an X-Deadline header names, in ns, e.g. 1500000000 for `1500m`.

    Raises InvalidRequestError.
    """
    match = DEADLINE_FORMAT.fullmatch(text)
    if match is None:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, f"deadline {text!r}")
    return int(float(match[1]) * NS_PER_DEADLINE_UNIT[match[2]])
