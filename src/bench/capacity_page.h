/** @file capacity_page.h What letter 1's size costs, computed from slopes, and the tables of docs/CAPACITY.md. */
#ifndef CAPACITY_PAGE_H
#define CAPACITY_PAGE_H

#include <string>
#include <vector>

/** A measured line: value = base + per_count x count. */
struct LinearFit {
	std::string name;     ///< What was measured.
	std::string unit;     ///< Its unit.
	std::string count;    ///< What was counted.
	double base = 0;      ///< Value at count 0.
	double per_count = 0; ///< Value each.
	double residual = 0;  ///< Largest distance from the line, against the value.
	size_t points = 0;    ///< Points measured.
};

/** One computed figure. */
struct CapacityRow {
	std::string role;      ///< Whose it is.
	std::string what;      ///< What it is.
	double value = 0;      ///< The value at letter 1's size.
	std::string unit;      ///< Its unit.
	double limit = 0;      ///< Its limit, 0 for none.
	std::string mechanism; ///< What carries it.
};

/** All computed figures. */
struct CapacityTable {
	std::vector<CapacityRow> rows; ///< By role.
};

/**
 * Computes the figures at letter 1's size.
 * @param slopes Measured slopes.
 * @return The figures.
 */
CapacityTable ComputeCapacity(const std::vector<LinearFit> &fits);

/**
 * Writes the tables into a page, between its two marker lines.
 * @param file The page; must have the markers.
 * @param slopes Measured slopes.
 * @param table Computed figures.
 * @return Whether the page could be written.
 */
bool WriteCapacityPage(const std::string &file, const std::vector<LinearFit> &fits, const CapacityTable &table);

#endif /* CAPACITY_PAGE_H */
