/** @file bench_output.cpp Output of benchmark figures as JSON lines. */
#include "bench_output.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <cmath>
#include <iostream>

namespace {

constexpr double ROUNDING_FACTOR = 10000.0; ///< Rounds figures to four decimal places.

double Rounded(double value)
{
	return std::round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}

} // namespace

void PrintFigure(const Figure &figure)
{
	QJsonObject json;
	json["bench"] = QString::fromStdString(figure.bench);
	json["preset"] = QString::fromStdString(figure.preset);
	json["figure"] = QString::fromStdString(figure.figure);
	json["value"] = Rounded(figure.value);
	json["unit"] = QString::fromStdString(figure.unit);
	json["seed"] = static_cast<qint64>(figure.seed);
	if (!figure.baseline.empty()) {
		json["baseline"] = QString::fromStdString(figure.baseline);
		json["ratio"] = Rounded(figure.ratio);
	}
	std::cout << QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString() << std::endl;
}
