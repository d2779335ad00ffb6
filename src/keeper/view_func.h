/** @file view_func.h Views of the fleet that are sent to entries: complete views and differences between two. */
#ifndef VIEW_FUNC_H
#define VIEW_FUNC_H

#include "../fleet/fleet_func.h"
#include "../planner/planner_type.h"

/**
 * Builds the complete view of a zone.
 * @param fleet The state.
 * @param zone The zone.
 * @param list The platform's list. A box that it shows with a health other than up is not open in the view, even before
 * the log has recorded that.
 * @return The view with its hash; its version is not set.
 */
glade::wire::ViewT BuildView(const FleetState &fleet, const ZoneName &zone, const std::vector<ListedBox> &list);

/**
 * Computes the difference between two complete views.
 * @param from The older view.
 * @param to The newer view.
 * @return The changes, relative to the version of `from`.
 */
glade::wire::ViewT DiffView(const glade::wire::ViewT &from, const glade::wire::ViewT &to);

/**
 * Copies a view.
 * @param view The view.
 * @return The copy.
 */
glade::wire::ViewT CopyView(const glade::wire::ViewT &view);

#endif /* VIEW_FUNC_H */
