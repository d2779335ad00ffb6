/** @file keeper_dump.h State of a keeper as JSON, complete or by topic. */
#ifndef KEEPER_DUMP_H
#define KEEPER_DUMP_H

#include "keeper_core.h"
#include "operator_handler.h"

#include <QJsonObject>

/**
 * Builds the state dump.
 * @param core Shared state of the keeper.
 * @param counters Counters to show; they include the frame bytes that `core` lacks.
 * @param entries Number of connected entries.
 * @param plans Whether this keeper holds the planning term.
 * @return The dump.
 */
QJsonObject DumpKeeper(const KeeperCore &core, const KeeperCounters &counters, size_t entries, bool plans);

/**
 * Builds the output of `glade boxes|pools|waves|budgets|jobs|members|services|history|explain`.
 * @param core Shared state of the keeper.
 * @param operators Holds the recent decisions, for "history".
 * @param topic One of these words.
 * @param name Name of the box or service, for "explain".
 * @return A JSON array with one object per row; empty for an unknown topic.
 */
std::string DumpTopic(const KeeperCore &core, const OperatorHandler &operators, const std::string &topic,
					  const std::string &name);

#endif /* KEEPER_DUMP_H */
