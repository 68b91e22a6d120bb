"""Determine the kind of a request from the team's settings."""

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
DEFAULT_ONLINE_KIND = KindName("online")
DEFAULT_BATCH_KIND = KindName("batch")


@dataclass(frozen=True)
class Classified:
    """A kind with the settings that apply to this request."""

    kind: KindName
    settings: KindSettings


def classify_model(
    team: TeamSettings, path: str, model: ModelName, requested: str | None
) -> Classified | Refusal:
    """Return the kind of an online request for a model."""
    refusal = model_refusal(team, model)
    return refusal or _select_kind(team, requested, KindClass.ONLINE, model=model, path=path)


def classify_application(
    team: TeamSettings, application: str, path: str, requested: str | None
) -> Classified | Refusal:
    """Return the kind of a call to a plain service; ``no_repeat`` paths are not idempotent."""
    application_settings = team.applications.get(application)
    if application_settings is None:
        known_names = ", ".join(sorted(team.applications)) or "none"
        return _not_found(f"unknown application {application[:80]!r}; the team has: {known_names}")
    classified = _select_kind(team, requested, KindClass.ONLINE, application=application, path=path)
    if isinstance(classified, Refusal):
        return classified
    if any(
        path.strip("/").startswith(prefix.strip("/")) for prefix in application_settings.no_repeat
    ):
        return Classified(
            classified.kind, classified.settings.model_copy(update={"idempotent": False})
        )
    return classified


def classify_batch(team: TeamSettings, requested: str | None) -> Classified | Refusal:
    """Return the kind of a batch job."""
    return _select_kind(team, requested, KindClass.BATCH)


def model_refusal(team: TeamSettings, model: str) -> Refusal | None:
    """Return why a team cannot use a model, ``None`` if it can."""
    if model in team.models:
        return None
    known_names = ", ".join(sorted(team.models)) or "none"
    return _not_found(f"unknown model {model[:80]!r}; the team has: {known_names}")


def _select_kind(
    team: TeamSettings,
    requested: str | None,
    kind_class: KindClass,
    *,
    model: str = "",
    application: str = "",
    path: str = "",
) -> Classified | Refusal:
    if requested is not None:
        settings = team.kinds.get(requested)
        if settings is None or settings.kind_class is not kind_class:
            return _unknown_kind(team, requested, kind_class)
        return Classified(KindName(requested), settings)
    best: tuple[int, str] | None = None
    for name in sorted(team.kinds):
        settings = team.kinds[name]
        rank = _match_rank(settings, model, application, path)
        if (
            settings.kind_class is kind_class
            and rank is not None
            and (best is None or rank > best[0])
        ):
            best = (rank, name)
    if best is not None:
        return Classified(KindName(best[1]), team.kinds[best[1]])
    if kind_class is KindClass.BATCH:
        return Classified(DEFAULT_BATCH_KIND, KindSettings(kind_class=kind_class, deadline_s=86400))
    return Classified(DEFAULT_ONLINE_KIND, KindSettings())


def _match_rank(settings: KindSettings, model: str, application: str, path: str) -> int | None:
    """Return the number of matching conditions, ``None`` if one does not match."""
    match = settings.match
    if match.model not in ("", model) or match.application not in ("", application):
        return None
    if not path.strip("/").startswith(match.path.strip("/")):
        return None
    return sum(map(bool, (match.model, match.application, match.path)))


def _unknown_kind(team: TeamSettings, requested: str, kind_class: KindClass) -> Refusal:
    known_names = sorted(name for name, kind in team.kinds.items() if kind.kind_class is kind_class)
    listed = ", ".join(known_names) or "none"
    message = (
        f"{KIND_HEADER}: unknown {kind_class.value} kind {requested[:80]!r}; the team has: {listed}"
    )
    return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)


def _not_found(message: str) -> Refusal:
    return Refusal(RefusalKind.NOT_FOUND, message, ExecutionStatus.NOT_RUN)
