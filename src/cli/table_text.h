/** @file table_text.h Rows of JSON as a table for people. */
#ifndef TABLE_TEXT_H
#define TABLE_TEXT_H

#include <QJsonArray>

#include <string>

/**
 * Lays rows out in columns.
 * @param rows An array of objects; columns are the keys of the first.
 * @return The text, a line a row.
 */
std::string TableText(const QJsonArray &rows);

#endif /* TABLE_TEXT_H */
