"""The platform's names for the headers that this project reads or sets."""

from xxhash import xxh3_64_hexdigest

from parsleyrouter.ids import PromptPart
from parsleyrouter.request.crash import Prompt
from parsleyrouter.request.fingerprint import FINGERPRINT_MARK
from parsleyrouter.request.forwarded_request import HeaderNames

__all__ = ["HEADERS", "shared_parts"]

MAX_ID_LENGTH = 40

HEADERS = HeaderNames(
    request="x-attempt-id",
    deadline_ms="x-deadline-ms",
    expected_endpoint="x-expect-instance",
    instance="x-instance-id",
    not_executed="x-not-executed",
    signature="x-response-signature",
    # Running, waiting and slots of an endpoint, separated by commas.
    load="x-server-load",
    leaving="server-leaving",
    limit="server-limit",
    model="x-model",
    # Prompt tokens and maximum output tokens, separated by a comma.
    tokens="x-token-usage",
    prefix="x-prompt-prefix",
    last_event="last-event-id",
    wait_ms="x-wait-ms",
    # The key of a customer, and nothing else.
    credential="x-credential",
    customer="x-tenant",
)


def shared_parts(prefix: str) -> Prompt:
    """Return the ids of all parts but the last, which belongs to the request or its session.

    Long ids, and those that look like a fingerprint, are replaced by a hash.
    """
    parts = [entry.partition(":")[0].strip() for entry in prefix.split(",")]
    return tuple(
        PromptPart(part) if _is_kept(part) else _hashed(part) for part in parts[:-1] if part
    )


def _is_kept(part: str) -> bool:
    return len(part) <= MAX_ID_LENGTH and not part.startswith(FINGERPRINT_MARK)


def _hashed(part: str) -> PromptPart:
    return PromptPart(xxh3_64_hexdigest(part.encode()))
