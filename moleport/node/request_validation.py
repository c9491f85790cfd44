"""Validates a client's request before it is passed to the policy."""

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
    """Raised for an invalid request; data that follows it on its connection is not processed either."""

    def __init__(self, status: HTTPStatus, message: str) -> None:
        """Create the error of a request that is answered with `status`; `message` names the invalid value."""
        super().__init__(message)
        self.status = status


def validate_framing(request: ParsedRequest) -> int:
    """Validate Content-Length and Transfer-Encoding of a request whose head is complete.

    Returns the Content-Length, 0 without one. The httptools parser has already rejected contradictory
    framing. Raises InvalidRequestError.
    """
    # Content-Length is converted to a number without a check of its syntax, as httptools accepts only digits.
    length = int(request.header_values.get(b"content-length", b"0"))
    if length > MAX_BODY_BYTES:
        raise InvalidRequestError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f"request body of {length} bytes exceeds {MAX_BODY_BYTES} bytes",
        )
    coding = request.header_values.get(b"transfer-encoding")
    if coding is not None and coding.lower() != b"chunked":
        raise InvalidRequestError(HTTPStatus.NOT_IMPLEMENTED, f"transfer coding {coding!r} is not supported")
    if request.method == b"GET" and (length or coding is not None):
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "GET request with a body")
    return length


def validate_request(request: ParsedRequest, config: Config) -> None:
    """Validate path, method, class, id and deadline of a request whose head is complete.

    Sets `path`, `class_index` and `timeout_ns` of the request. For a readiness check only `path` is set.
    Raises InvalidRequestError.
    """
    request.path = request.target.split(b"?", 1)[0]
    if request.path == READINESS_PATH:
        return
    if request.path != API_PATH:
        raise InvalidRequestError(HTTPStatus.NOT_FOUND, f"unknown request path {request.path!r}")
    if request.method not in (b"GET", b"POST"):
        raise InvalidRequestError(
            HTTPStatus.METHOD_NOT_ALLOWED, f"request method {request.method!r} is not allowed"
        )
    header_values = request.header_values
    class_index = config.class_indices.get(header_values.get(b"x-class", b""))
    if class_index is None:
        raise InvalidRequestError(
            HTTPStatus.BAD_REQUEST, f"unknown X-Class {header_values.get(b'x-class')!r}"
        )
    if REQUEST_ID_FORMAT.fullmatch(header_values.get(b"x-request-id", b"")) is None:
        raise InvalidRequestError(
            HTTPStatus.BAD_REQUEST, f"invalid X-Request-Id {header_values.get(b'x-request-id')!r}"
        )
    idempotency = config.policy_settings.classes[class_index].idempotency
    # Servers infer the idempotency of a request from its method, so the method must match the request class.
    if (request.method == b"GET") is not (idempotency is Idempotency.IDEMPOTENT):
        raise InvalidRequestError(
            HTTPStatus.BAD_REQUEST,
            f"method {request.method!r} does not match a class whose idempotency is {idempotency.name}",
        )
    if idempotency is Idempotency.IDEMPOTENCY_KEY and not header_values.get(b"idempotency-key"):
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "no Idempotency-Key for a class that requires one")
    request.class_index = class_index
    request.timeout_ns = config.max_deadlines_ns[class_index]
    if b"x-deadline" in header_values:
        # The deadline of a request is capped, because no client waits longer than the maximum deadline of its
        # request class, and a request uses memory until its deadline.
        request.timeout_ns = min(request.timeout_ns, parse_deadline_ns(header_values[b"x-deadline"]))


def parse_deadline_ns(text: bytes) -> int:
    """Return the duration in ns that an X-Deadline header states, e.g. 1500000000 for `1500m`.

    Raises InvalidRequestError.
    """
    match = DEADLINE_FORMAT.fullmatch(text)
    if match is None:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, f"invalid X-Deadline {text!r}")
    return int(float(match[1]) * NS_PER_DEADLINE_UNIT[match[2]])
