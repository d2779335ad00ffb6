/** @file keeper_dump.h A keeper's state as JSON, whole or by topic. */
#ifndef KEEPER_DUMP_H
#define KEEPER_DUMP_H

#include "keeper_core.h"
#include "operator_handler.h"

#include <QJsonObject>

/**
 * The state dump.
 * @param core Shared parts.
 * @param counters Counters, completed.
 * @param entries Entries connected.
 * @param plans Whether this keeper plans.
 * @return The dump.
 */
QJsonObject DumpKeeper(const KeeperCore &core, const KeeperCounters &counters, size_t entries, bool plans);

/**
 * What `glade boxes|pools|waves|budgets|jobs|members|history|explain` show.
 * @param core Shared parts.
 * @param operators Recent decisions.
 * @param topic One of these words.
 * @param name Box or service to explain.
 * @return JSON: an array of objects, one a line.
 */
std::string KeeperTopic(const KeeperCore &core, const OperatorHandler &operators, const std::string &topic,
						const std::string &name);

#endif /* KEEPER_DUMP_H */
