/** @file table_func.h The operators' table: columns, reading a file, compiling rows, checks, merging. */
#ifndef TABLE_FUNC_H
#define TABLE_FUNC_H

#include "fleet_base.h"

#include <span>
#include <string>
#include <vector>

/** A cell as an operator edits it. */
struct CellEdit {
	CellKey key;       ///< Row and column.
	std::string value; ///< New text; empty restores the column's default.

	auto operator<=>(const CellEdit &) const = default;
};

/** A publication: what changed against a version of the table. */
struct TableEdit {
	TableVersion base;                ///< Version that was edited.
	std::vector<CellEdit> cells;      ///< Changed cells.
	std::vector<ServiceName> removed; ///< Rows to remove.
};

/** Rows compiled from cells; `result` tells the first cell that is wrong. */
struct CompiledTable {
	Result result;                          ///< RC_OK or what is wrong, with row and column.
	std::map<ServiceName, ServiceRow> rows; ///< The rows, complete only when `result` is RC_OK.
};

/** A table file as read: its cells or the place of the error. */
struct TableFile {
	Result result;                        ///< RC_OK, or line and what was expected.
	std::map<CellKey, std::string> cells; ///< All cells that the file sets.
};

/** One column of the table. */
struct ColumnSpec {
	const char *name;     ///< Header of the column.
	const char *fallback; ///< Value of an empty cell.
	const char *expected; ///< What a valid value looks like, for messages and docs.
};

/** @return All columns, in their order on paper. */
std::span<const ColumnSpec> TableColumns();

/**
 * Compiles cells into rows and checks each cell.
 * @param cells The table.
 * @return Rows or the first error.
 */
CompiledTable CompileRows(const std::map<CellKey, Cell> &cells);

/**
 * Checks that the fleet can hold a table: the floors fit into the boxes there are.
 * @param rows Compiled rows.
 * @param boxes The boxes; a table published before any box is known is accepted.
 * @return RC_OK or RC_FLOORS_OVER_CAPACITY.
 */
Result CheckCapacity(const std::map<ServiceName, ServiceRow> &rows, const std::map<BoxName, Box> &boxes);

/**
 * Applies an edit: merges with later versions cell by cell, refuses cells that both changed.
 * @param mode Check alone, or check and change.
 * @param fleet The state; changed only with CM_EXECUTE and RC_OK.
 * @param edit The edit.
 * @param version Version that the accepted publication gets.
 * @return RC_OK or the reason, naming row and column.
 */
Result CmdPublishTable(CommandMode mode, FleetState &fleet, const TableEdit &edit, TableVersion version);

/**
 * Reads a table from CSV text: a header line `service,pool,weight,…`, a line per service.
 * @param text The file's text.
 * @return Cells or the error with its line.
 */
TableFile ReadTableCsv(const std::string &text);

/**
 * Writes cells as CSV, all columns.
 * @param cells The table.
 * @return The text, rows sorted by service.
 */
std::string WriteTableCsv(const std::map<CellKey, Cell> &cells);

/**
 * What changed from one table to a file.
 * @param cells The published table.
 * @param file Cells of the file.
 * @param base Version of the published table.
 * @return The edit that publishes the file.
 */
TableEdit DiffTable(const std::map<CellKey, Cell> &cells, const std::map<CellKey, std::string> &file,
					TableVersion base);

#endif /* TABLE_FUNC_H */
