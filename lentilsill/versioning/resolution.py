"""Choice of the documents to put in force, with every reference satisfied."""

from collections.abc import Mapping
from dataclasses import dataclass

from lentilsill.documents import ServiceDocument, references

__all__ = ["Resolution", "broken_references", "resolve"]

ChosenDocuments = Mapping[str, ServiceDocument | None]


@dataclass(frozen=True, slots=True)
class Resolution:
    """Documents to put in force, and why newer versions are held.

    `held` gives the reasons for each service whose newest valid version, or
    deletion, is not put in force.
    """

    documents: Mapping[str, ServiceDocument]
    held: Mapping[str, tuple[str, ...]]


def resolve(
    newest: Mapping[str, ServiceDocument],
    previous: Mapping[str, ServiceDocument],
    peer_documents: Mapping[str, ServiceDocument] | None = None,
) -> Resolution:
    """Choose a version of each service such that every reference is satisfied.

    Parameters
    ----------
    newest : mapping
        Newest valid document by service; a service that is absent is deleted.
    previous : mapping
        Documents currently in force; every reference in them is satisfied.
    peer_documents : mapping, optional
        Documents older than `newest` that peers have in force. Those that are
        newer than the previous documents replace them first, so that a new node,
        which has no previous versions, arrives at the same set as its peers.

    Notes
    -----
    Every service starts at its newest state and only falls back to its previous
    one. The previous set is consistent, so the procedure terminates. No service
    gets a version below its previous one.
    """
    if peer_documents:
        previous = _choose({**newest, **peer_documents}, previous).documents
    return _choose(newest, previous)


def _choose(
    newest: Mapping[str, ServiceDocument], previous: Mapping[str, ServiceDocument]
) -> Resolution:
    options = _options(newest, previous)
    positions = dict.fromkeys(sorted(options), 0)
    while fallbacks := _services_to_fall_back(options, positions):
        for service in fallbacks:
            positions[service] += 1
    _undo_needless_fallbacks(options, positions)
    chosen = _chosen(options, positions)
    held = {
        service: tuple(broken_references({**chosen, service: options[service][0]}))
        for service, position in positions.items()
        if position > 0
    }
    documents = {name: doc for name, doc in chosen.items() if doc is not None}
    return Resolution(documents, held)


def broken_references(chosen: ChosenDocuments) -> list[str]:
    """Describe every reference in `chosen` that is not satisfied."""
    return [text for _, _, text in _violations(chosen)]


def _options(
    newest: Mapping[str, ServiceDocument], previous: Mapping[str, ServiceDocument]
) -> dict[str, list[ServiceDocument | None]]:
    """List the candidate states of each service, the preferred one first."""
    options: dict[str, list[ServiceDocument | None]] = {}
    for service in {**newest, **previous}:
        newest_document, previous_document = newest.get(service), previous.get(service)
        if (
            newest_document is not None
            and previous_document is not None
            and newest_document.version <= previous_document.version
        ):
            options[service] = [previous_document]
        else:
            options[service] = [newest_document, previous_document]
    return options


def _chosen(
    options: Mapping[str, list[ServiceDocument | None]], positions: Mapping[str, int]
) -> dict[str, ServiceDocument | None]:
    return {
        service: options[service][position] for service, position in positions.items()
    }


def _violations(chosen: ChosenDocuments) -> list[tuple[str, str, str]]:
    """List (referrer, target, description), sorted by referrer and target."""
    found = []
    for service in sorted(chosen):
        doc = chosen[service]
        if doc is None:
            continue
        refs = references(doc)
        subject = f"version {doc.version} of {service}"
        for target, name in sorted(refs.upstream_sets):
            other = chosen.get(target)
            if other is None:
                text = (
                    f"{subject} routes to {target}/{name}, but {target} has no document"
                )
                found.append((service, target, text))
            elif name not in other.upstream_sets:
                text = (
                    f"{subject} routes to {target}/{name}, which version "
                    f"{other.version} of {target} does not have"
                )
                found.append((service, target, text))
        for target in sorted(refs.services):
            if chosen.get(target) is None:
                text = f"{subject} requires {target}, which has no document"
                found.append((service, target, text))
    return found


def _services_to_fall_back(
    options: Mapping[str, list[ServiceDocument | None]], positions: Mapping[str, int]
) -> set[str]:
    """Return the services that must fall back to resolve the violations.

    For each violation, the referrer falls back if it has another option, else
    the target.
    """
    fallbacks = set()
    for referrer, target, _ in _violations(_chosen(options, positions)):
        if positions[referrer] + 1 < len(options[referrer]):
            fallbacks.add(referrer)
        elif target in positions and positions[target] + 1 < len(options[target]):
            fallbacks.add(target)
        else:
            raise ValueError("the previous documents have unsatisfied references")
    return fallbacks


def _undo_needless_fallbacks(
    options: Mapping[str, list[ServiceDocument | None]], positions: dict[str, int]
) -> None:
    """Restore the newest state of services that need not have fallen back.

    A referrer falls back because of the target's version. If the target falls
    back later, the referrer may be able to use its newest version after all.
    """
    has_changed = True
    while has_changed:
        has_changed = False
        for service, position in positions.items():
            if position == 0 or _violations(
                _chosen(options, {**positions, service: 0})
            ):
                continue
            positions[service] = 0
            has_changed = True
