"""Find the kind of a request by the team's settings."""

from dataclasses import dataclass

from parsleyrouter.ids import KindName, ModelName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.version.schema import KindClass, KindSettings, TeamSettings

__all__ = [
    "KIND_HEADER",
    "Classified",
    "classify_application",
    "classify_batch",
    "classify_model",
    "model_refusal",
]

KIND_HEADER = "x-parsley-kind"
DEFAULT_ONLINE = KindName("online")
DEFAULT_BATCH = KindName("batch")


@dataclass(frozen=True)
class Classified:
    """A kind with the settings that hold for this request."""

    kind: KindName
    settings: KindSettings


def classify_model(
    team: TeamSettings, path: str, model: ModelName, named: str | None
) -> Classified | Refusal:
    """Return the kind of an online request for a model."""
    refused = model_refusal(team, model)
    return refused or _choose(team, named, KindClass.ONLINE, model=model, path=path)


def classify_application(
    team: TeamSettings, application: str, path: str, named: str | None
) -> Classified | Refusal:
    """Return the kind of a call to a plain service; calls that may not be repeated say so."""
    known = team.applications.get(application)
    if known is None:
        names = ", ".join(sorted(team.applications)) or "none"
        return _refuse(f"unknown application {application[:80]!r}; the team has: {names}")
    found = _choose(team, named, KindClass.ONLINE, application=application, path=path)
    if isinstance(found, Refusal):
        return found
    if any(path.strip("/").startswith(prefix.strip("/")) for prefix in known.no_repeat):
        return Classified(found.kind, found.settings.model_copy(update={"idempotent": False}))
    return found


def classify_batch(team: TeamSettings, named: str | None) -> Classified | Refusal:
    """Return the kind of a batch job."""
    return _choose(team, named, KindClass.BATCH)


def model_refusal(team: TeamSettings, model: str) -> Refusal | None:
    """Return why a team cannot use a model, ``None`` when it can."""
    if model in team.models:
        return None
    names = ", ".join(sorted(team.models)) or "none"
    return _refuse(f"unknown model {model[:80]!r}; the team has: {names}")


def _choose(
    team: TeamSettings,
    named: str | None,
    wanted: KindClass,
    *,
    model: str = "",
    application: str = "",
    path: str = "",
) -> Classified | Refusal:
    if named is not None:
        settings = team.kinds.get(named)
        if settings is None or settings.kind_class is not wanted:
            return _unknown_kind(team, named, wanted)
        return Classified(KindName(named), settings)
    best: tuple[int, str] | None = None
    for name in sorted(team.kinds):
        settings = team.kinds[name]
        rank = _match_rank(settings, model, application, path)
        if settings.kind_class is wanted and rank is not None and (best is None or rank > best[0]):
            best = (rank, name)
    if best is not None:
        return Classified(KindName(best[1]), team.kinds[best[1]])
    if wanted is KindClass.BATCH:
        return Classified(DEFAULT_BATCH, KindSettings(kind_class=wanted, deadline_s=86400))
    return Classified(DEFAULT_ONLINE, KindSettings())


def _match_rank(settings: KindSettings, model: str, application: str, path: str) -> int | None:
    """Return how many conditions hold, ``None`` when one does not."""
    match = settings.match
    if match.model not in ("", model) or match.application not in ("", application):
        return None
    if not path.strip("/").startswith(match.path.strip("/")):
        return None
    return sum(map(bool, (match.model, match.application, match.path)))


def _unknown_kind(team: TeamSettings, named: str, wanted: KindClass) -> Refusal:
    names = sorted(name for name, kind in team.kinds.items() if kind.kind_class is wanted)
    listed = ", ".join(names) or "none"
    message = f"{KIND_HEADER}: unknown {wanted.value} kind {named[:80]!r}; the team has: {listed}"
    return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)


def _refuse(message: str) -> Refusal:
    return Refusal(RefusalKind.NOT_FOUND, message, ExecutionStatus.NOT_RUN)
