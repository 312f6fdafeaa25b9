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
    at_peers: Mapping[str, ServiceDocument] | None = None,
) -> Resolution:
    """Choose a version of each service such that every reference is satisfied.

    Parameters
    ----------
    newest : mapping
        Newest valid document by service; a service that is absent is deleted.
    previous : mapping
        Documents in force so far; every reference in it is satisfied.
    at_peers : mapping, optional
        Documents older than `newest` that peers have in force. Where they are
        newer than `previous`, they take its place first, so that a new node,
        which has no previous versions, comes to the set that its peers have.

    Notes
    -----
    Every service starts at its newest state and is only moved back to its
    previous one. The previous set is consistent, so the procedure ends. A
    service never gets a version below its previous one.
    """
    if at_peers:
        previous = _choose({**newest, **at_peers}, previous).documents
    return _choose(newest, previous)


def _choose(
    newest: Mapping[str, ServiceDocument], previous: Mapping[str, ServiceDocument]
) -> Resolution:
    options = _options(newest, previous)
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
    newest: Mapping[str, ServiceDocument], previous: Mapping[str, ServiceDocument]
) -> dict[str, list[ServiceDocument | None]]:
    """List the states of each service that may be chosen, the preferred first."""
    options: dict[str, list[ServiceDocument | None]] = {}
    for service in {**newest, **previous}:
        first, last = newest.get(service), previous.get(service)
        if first is not None and last is not None and first.version <= last.version:
            options[service] = [last]
        else:
            options[service] = [first, last]
    return options


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
            if position == 0 or _violations(_chosen(options, {**index, service: 0})):
                continue
            index[service] = 0
            again = True
