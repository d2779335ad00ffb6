/** @file table_text.cpp Formats JSON rows as a text table. */
#include "table_text.h"

#include <QJsonObject>
#include <QStringList>

#include <algorithm>
#include <map>

std::string TableText(const QJsonArray &rows)
{
	if (rows.isEmpty()) {
		return "(none)\n";
	}
	QStringList columns;
	for (const QJsonValue row : rows) {
		for (const QString &key : row.toObject().keys()) {
			if (!columns.contains(key)) {
				columns.append(key);
			}
		}
	}
	std::map<QString, qsizetype> width;
	for (const QString &column : columns) {
		width[column] = column.size();
		for (const QJsonValue row : rows) {
			width[column] = std::max(width[column], row[column].toVariant().toString().size());
		}
	}
	QString text;
	for (const QString &column : columns) {
		text += column.leftJustified(width[column] + 2);
	}
	text += '\n';
	for (const QJsonValue row : rows) {
		for (const QString &column : columns) {
			text += row[column].toVariant().toString().leftJustified(width[column] + 2);
		}
		text += '\n';
	}
	return text.toStdString();
}
