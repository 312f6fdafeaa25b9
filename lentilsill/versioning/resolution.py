"""Choice of the documents in force, such that every reference is satisfied."""

from collections.abc import Mapping
from dataclasses import dataclass

from lentilsill.documents import ServiceDocument, references

__all__ = ["Resolution", "broken_references", "resolve"]

Choice = Mapping[str, ServiceDocument | None]


@dataclass(frozen=True, slots=True)
class Resolution:
    """Documents to put in force, and why the others are held.

    `held` gives, for each service whose newest valid state is not in force,
    the reasons.
    """

    documents: Mapping[str, ServiceDocument]
    held: Mapping[str, tuple[str, ...]]


def resolve(
    newest: Mapping[str, ServiceDocument],
    previous: Mapping[str, ServiceDocument],
    fallbacks: Mapping[str, ServiceDocument] | None = None,
) -> Resolution:
    """Choose a version of each service such that every reference is satisfied.

    Parameters
    ----------
    newest : mapping
        Newest valid document by service; a service that is absent is deleted.
    previous : mapping
        Documents in force so far; every reference in it is satisfied.
    fallbacks : mapping, optional
        Older documents that peers have in force. They are tried between
        `newest` and `previous`, so that a new node, which has no previous
        version, is not left without the service.

    Notes
    -----
    Every service starts at its first option and only moves on in its list,
    whose last element is the previous state. The previous set is consistent,
    so the procedure ends. A service never gets a version below its previous.
    """
    options = _options(newest, previous, fallbacks or {})
    index = dict.fromkeys(sorted(options), 0)
    while moves := _moves(options, index):
        for service in moves:
            index[service] += 1
    _advance(options, index)
    chosen = _chosen(options, index)
    held = {
        service: tuple(broken_references({**chosen, service: options[service][0]}))
        for service, position in index.items()
        if position > 0
    }
    documents = {name: doc for name, doc in chosen.items() if doc is not None}
    return Resolution(documents, held)


def broken_references(chosen: Choice) -> list[str]:
    """Describe every reference in `chosen` that is not satisfied."""
    return [text for _, _, text in _violations(chosen)]


def _options(
    newest: Mapping[str, ServiceDocument],
    previous: Mapping[str, ServiceDocument],
    fallbacks: Mapping[str, ServiceDocument],
) -> dict[str, list[ServiceDocument | None]]:
    options: dict[str, list[ServiceDocument | None]] = {}
    for service in {**newest, **previous}:
        last = previous.get(service)
        below = last.version if last else 0
        listed: list[ServiceDocument | None] = []
        for doc in (newest.get(service), fallbacks.get(service)):
            if doc is None and not listed:
                listed.append(None)
            elif doc is not None and listed != [None] and doc.version > below:
                if not listed or doc.version < _version(listed[-1]):
                    listed.append(doc)
        if not listed or listed[-1] is not last:
            listed.append(last)
        options[service] = listed
    return options


def _version(doc: ServiceDocument | None) -> int:
    return doc.version if doc else 0


def _chosen(
    options: Mapping[str, list[ServiceDocument | None]], index: Mapping[str, int]
) -> dict[str, ServiceDocument | None]:
    return {service: options[service][position] for service, position in index.items()}


def _violations(chosen: Choice) -> list[tuple[str, str, str]]:
    """List (referrer, target, description), sorted by referrer and target."""
    found = []
    for service in sorted(chosen):
        doc = chosen[service]
        if doc is None:
            continue
        needs = references(doc)
        who = f"version {doc.version} of {service}"
        for target, name in sorted(needs.upstream_sets):
            other = chosen.get(target)
            if other is None:
                text = f"{who} routes to {target}/{name}, but {target} has no document"
                found.append((service, target, text))
            elif name not in other.upstream_sets:
                text = (
                    f"{who} routes to {target}/{name}, which version "
                    f"{other.version} of {target} does not have"
                )
                found.append((service, target, text))
        for target in sorted(needs.services):
            if chosen.get(target) is None:
                text = f"{who} requires {target}, which has no document"
                found.append((service, target, text))
    return found


def _moves(
    options: Mapping[str, list[ServiceDocument | None]], index: Mapping[str, int]
) -> set[str]:
    """Services to move on: a referrer that can, else the target it holds back."""
    moves = set()
    for referrer, target, _ in _violations(_chosen(options, index)):
        if index[referrer] + 1 < len(options[referrer]):
            moves.add(referrer)
        elif target in index and index[target] + 1 < len(options[target]):
            moves.add(target)
        else:
            raise ValueError("the previous documents have unsatisfied references")
    return moves


def _advance(
    options: Mapping[str, list[ServiceDocument | None]], index: dict[str, int]
) -> None:
    """Move services forward again that were moved back without need.

    A referrer moves back while its target is at a version that is itself
    moved back later, in which case the referrer may use its newer version.
    """
    again = True
    while again:
        again = False
        for service, position in index.items():
            for earlier in range(position):
                if not _violations(_chosen(options, {**index, service: earlier})):
                    index[service] = earlier
                    again = True
                    break
