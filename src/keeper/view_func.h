/** @file view_func.h What entries are told of the fleet: whole views and the changes between two. */
#ifndef VIEW_FUNC_H
#define VIEW_FUNC_H

#include "../fleet/fleet_func.h"
#include "../planner/planner_type.h"

/**
 * Builds the whole view of a zone.
 * @param fleet The state.
 * @param zone The zone.
 * @param list The platform's list: a box that it names as leaving or down is closed at once, ahead of the log.
 * @return The view, with its hash, without a version.
 */
glade::wire::ViewT BuildView(const FleetState &fleet, const ZoneName &zone, const std::vector<ListedBox> &list);

/**
 * What changed between two whole views.
 * @param from The older.
 * @param to The newer.
 * @return The changes, on top of the version of `from`.
 */
glade::wire::ViewT DiffView(const glade::wire::ViewT &from, const glade::wire::ViewT &to);

/**
 * Copies a view.
 * @param view The view.
 * @return The copy.
 */
glade::wire::ViewT CopyView(const glade::wire::ViewT &view);

#endif /* VIEW_FUNC_H */
