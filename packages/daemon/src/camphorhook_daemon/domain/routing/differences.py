"""Describes the differences between two routing tables."""

import functools

from camphorhook_daemon.domain.routing import table


@functools.singledispatch
def name_item(item):
    """Return the label of a Route or Service in a change description."""
    raise TypeError(f"expected a Route or Service, got {item!r}")


@name_item.register
def _(item: table.Route):
    return f"route {item.name}"


@name_item.register
def _(item: table.Service):
    return f"service {item.name}"


def list_changes(old, new):
    """Return a sentence for each change: services, routes, keys, limits.

    Args:
        old: the RoutingTable in force, or None.
        new: the RoutingTable that would replace it.
    """
    changes = []
    for find in (_map_services, _map_routes):
        changes += _compare_items(find(old), find(new))
    changes += _compare_accounts(_map_keys(old), _map_keys(new))
    if old is not None:
        changes += _compare_fields("limits", old.limits, new.limits)
        if old.has_accounts != new.has_accounts:
            needs = "are needed" if new.has_accounts else "aren't needed"
            changes.append(f"keys {needs} from now on")
    return changes


def _map_routes(one):
    return {route.name: route for route in one.routes} if one else {}


def _map_services(one):
    return dict(one.services) if one else {}


def _map_keys(one):
    return one.list_keys() if one else {}


def _compare_items(old, new):
    changes = []
    for name, item in new.items():
        if name not in old:
            changes.append(f"{name_item(item)} is added")
        else:
            changes += _compare_fields(name_item(item), old[name], item)
    for name, item in old.items():
        if name not in new:
            changes.append(f"{name_item(item)} is removed")
    return changes


def _compare_fields(label, old, new):
    return [
        f"{label}: {field} {_show(before)} becomes {_show(after)}"
        for field, before, after in zip(new._fields, old, new)
        if before != after
    ]


def _show(value):
    """Return the text of a field's value."""
    if isinstance(value, tuple):
        return ", ".join(f"{one.service} {one.weight:g}" for one in value)
    return repr(value) if isinstance(value, str) else str(value)


def _compare_accounts(old, new):
    """Return changes in the number of keys per account, without the keys."""
    changes = []
    for name in sorted({*old, *new}):
        added = len(new.get(name, frozenset()) - old.get(name, frozenset()))
        taken = len(old.get(name, frozenset()) - new.get(name, frozenset()))
        if added:
            changes.append(f"client account {name}: {added} keys are added")
        if taken:
            changes.append(f"client account {name}: {taken} keys taken away")
    return changes
