/** @file capacity_page.h Costs at the size of the letter1 preset, and the tables of docs/CAPACITY.md. */
#ifndef CAPACITY_PAGE_H
#define CAPACITY_PAGE_H

#include <string>
#include <vector>

/** A line fitted to measurements: value = base + per_count x count. */
struct LinearFit {
	std::string name;     ///< Measured quantity.
	std::string unit;     ///< Unit of the quantity.
	std::string count;    ///< What the quantity was measured against, such as boxes.
	double base = 0;      ///< Fitted value at count 0.
	double per_count = 0; ///< Slope: increase for each counted item.
	double residual = 0;  ///< Largest deviation of a measured value from the line, as a share of that value.
	size_t points = 0;    ///< Number of measured points.
};

/** A computed figure. */
struct CapacityRow {
	std::string role;      ///< Role of the process, or the platform's log, that the figure belongs to.
	std::string what;      ///< Name of the figure.
	double value = 0;      ///< Value at the size of the letter1 preset.
	std::string unit;      ///< Unit of the value.
	double limit = 0;      ///< Limit of the value, 0 for none.
	std::string mechanism; ///< Design choice that keeps the value low.
};

/** All computed figures. */
struct CapacityTable {
	std::vector<CapacityRow> rows; ///< Figures in the order of roles.
};

/**
 * Computes the figures at the size of the letter1 preset.
 * @param fits Lines fitted to the measurements.
 * @return Computed figures.
 */
CapacityTable ComputeCapacity(const std::vector<LinearFit> &fits);

/**
 * Writes the tables into a page, between its marker lines.
 * @param file Path of the page, which must contain both markers.
 * @param fits Lines fitted to the measurements.
 * @param table Computed figures.
 * @return False if the markers are missing; nothing is written then.
 */
bool WriteCapacityPage(const std::string &file, const std::vector<LinearFit> &fits, const CapacityTable &table);

#endif /* CAPACITY_PAGE_H */
