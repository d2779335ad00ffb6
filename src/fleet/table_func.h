/** @file table_func.h The operators' table: columns, CSV files, compilation of rows, checks, merging of edits. */
#ifndef TABLE_FUNC_H
#define TABLE_FUNC_H

#include "fleet_base.h"

#include <span>
#include <string>
#include <vector>

/** An operator's edit of a cell. */
struct CellEdit {
	CellKey key;       ///< Row and column.
	std::string value; ///< New text; empty restores the column's default.

	auto operator<=>(const CellEdit &) const = default;
};

/** An edit to publish: the changes against a version of the table. */
struct TableEdit {
	TableVersion base;                ///< Version of the table that was edited.
	std::vector<CellEdit> cells;      ///< Changed cells.
	std::vector<ServiceName> removed; ///< Rows to remove.
};

/** Rows compiled from cells, or the first error. */
struct CompiledTable {
	Result result;                          ///< RC_OK or the first error, with row and column.
	std::map<ServiceName, ServiceRow> rows; ///< Rows by service; complete only when `result` is RC_OK.
};

/** Cells read from a table file, or the first error. */
struct TableFile {
	Result result;                        ///< RC_OK, or the error with its line.
	std::map<CellKey, std::string> cells; ///< All cells that the file sets.
};

/** One column of the table. */
struct ColumnSpec {
	const char *name;     ///< Name of the column in the header.
	const char *fallback; ///< Value of an empty cell.
	const char *expected; ///< Description of valid values, for messages and docs.
};

/** @return All columns in the order in which files are written. */
std::span<const ColumnSpec> TableColumns();

/**
 * Compiles cells into rows and checks each cell.
 * @param cells The table.
 * @return Rows or the first error.
 */
CompiledTable CompileRows(const std::map<CellKey, Cell> &cells);

/**
 * Checks that the floors of a table together don't exceed the slots of all boxes, whatever their state.
 * @param rows Compiled rows.
 * @param boxes All boxes; without any, every table is accepted, so that one can be published before the first box
 * registers.
 * @return RC_OK or RC_FLOORS_OVER_CAPACITY.
 */
Result CheckCapacity(const std::map<ServiceName, ServiceRow> &rows, const std::map<BoxName, Box> &boxes);

/**
 * Applies an edit. Merges it cell by cell with publications after its base, and refuses it when both changed a cell
 * to different values.
 * @param mode Whether to check only, or to check and change.
 * @param fleet The state; changed only with CM_EXECUTE and RC_OK.
 * @param edit The edit.
 * @param version Version that the accepted publication gets.
 * @return RC_OK or the reason for the refusal, with row and column.
 */
Result CmdPublishTable(CommandMode mode, FleetState &fleet, const TableEdit &edit, TableVersion version);

/**
 * Reads a table from CSV text: a header line `service,pool,weight,…`, then a line per service.
 * @param text The file's text.
 * @return Cells or the first error with its line.
 */
TableFile ReadTableCsv(const std::string &text);

/**
 * Writes cells as CSV text with all columns.
 * @param cells The table.
 * @return CSV text, rows sorted by service.
 */
std::string WriteTableCsv(const std::map<CellKey, Cell> &cells);

/**
 * Computes the difference between the published table and a file. Services that the file lacks are removed; columns
 * that it lacks stay as published.
 * @param cells The published table.
 * @param file Cells of the file.
 * @param base Version of the published table.
 * @return The edit that publishes the file.
 */
TableEdit DiffTable(const std::map<CellKey, Cell> &cells, const std::map<CellKey, std::string> &file,
					TableVersion base);

#endif /* TABLE_FUNC_H */
