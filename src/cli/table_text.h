/** @file table_text.h Formats JSON rows as a text table. */
#ifndef TABLE_TEXT_H
#define TABLE_TEXT_H

#include <QJsonArray>

#include <string>

/**
 * Formats rows in aligned columns.
 * @param rows An array of objects; the columns are the keys of all objects in order of appearance.
 * @return The text: a header line and one line per row, or "(none)" when there are no rows.
 */
std::string TableText(const QJsonArray &rows);

#endif /* TABLE_TEXT_H */
