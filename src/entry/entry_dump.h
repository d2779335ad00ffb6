/** @file entry_dump.h An entry's state as JSON: no data of callers. */
#ifndef ENTRY_DUMP_H
#define ENTRY_DUMP_H

#include "../request/request_path.h"

#include <QJsonObject>

/**
 * The state dump.
 * @param path Shared by all requests.
 * @param now Lane's clock.
 * @return The dump.
 */
QJsonObject DumpEntry(const RequestPath &path, Millis now);

#endif /* ENTRY_DUMP_H */
