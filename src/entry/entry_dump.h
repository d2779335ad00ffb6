/** @file entry_dump.h State of an entry as JSON, without data of callers. */
#ifndef ENTRY_DUMP_H
#define ENTRY_DUMP_H

#include "../request/request_path.h"

#include <QJsonObject>

/**
 * Describes the state of an entry.
 * @param path State shared by all requests.
 * @param now Current time of the scheduler.
 * @return The state as JSON.
 */
QJsonObject DumpEntry(const RequestPath &path, Millis now);

#endif /* ENTRY_DUMP_H */
