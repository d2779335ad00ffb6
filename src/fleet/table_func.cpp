/** @file table_func.cpp The operators' table: columns, CSV files, compilation of rows, checks, merging of edits. */
#include "table_func.h"

#include "fleet_hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <numeric>
#include <optional>
#include <ranges>
#include <set>
#include <sstream>

namespace {

constexpr std::array _columns = {
		ColumnSpec{"pool", "", "name of a pool: 1 to 64 letters, digits, '-', '_' or '.'"},
		ColumnSpec{"weight", "1", "whole number from 0 to 1000000"},
		ColumnSpec{"floor", "0", "slots, whole number from 0 to 1000000"},
		ColumnSpec{"ceiling", "1000000", "slots, whole number from 0 to 1000000"},
		ColumnSpec{"class", "normal", "urgent, normal or batch"},
		ColumnSpec{"guard", "rack", "none, box, rack or zone"},
		ColumnSpec{"zone_budget", "0", "boxes, whole number from 0 to 1000000, 0 for no limit"},
		ColumnSpec{"rack_budget", "0", "boxes, whole number from 0 to 1000000, 0 for no limit"},
		ColumnSpec{"repeatable", "no", "yes or no"},
};

constexpr uint32_t CELL_NUMBER_MAX = 1000000; ///< Largest number in a cell.
constexpr size_t NAME_LENGTH_MAX = 64;        ///< Longest name of a service or pool.

/**
 * @param name A name of a service or pool.
 * @return Whether it is valid: 1 to NAME_LENGTH_MAX letters, digits, '-', '_' or '.'.
 */
bool IsName(const std::string &name)
{
	const auto fits = [](char c) {
		return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
			   c == '.';
	};
	return !name.empty() && name.size() <= NAME_LENGTH_MAX && std::ranges::all_of(name, fits);
}

/**
 * @param text A cell's text.
 * @return The number; nothing when the text is no whole number from 0 to CELL_NUMBER_MAX.
 */
std::optional<uint32_t> ParseNumber(const std::string &text)
{
	uint32_t n = 0;
	const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
	if (ec != std::errc() || end != text.data() + text.size() || n > CELL_NUMBER_MAX) {
		return std::nullopt;
	}
	return n;
}

/**
 * Finds the index of a word in a list of choices.
 * @param text The cell's text.
 * @param words The choices, in the order of the enum.
 * @return The index; nothing when the word is not in the list.
 */
std::optional<uint32_t> ParseChoice(const std::string &text, std::initializer_list<const char *> words)
{
	const auto it = std::ranges::find_if(words, [&](const char *word) { return text == word; });
	if (it == words.end()) {
		return std::nullopt;
	}
	return static_cast<uint32_t>(it - words.begin());
}

/**
 * Sets one field of a row from a cell.
 * @param[out] row The row.
 * @param column Name of the column.
 * @param text The cell's text.
 * @return Whether the text is valid for the column.
 */
bool SetField(ServiceRow &row, const std::string &column, const std::string &text)
{
	if (column == "pool") {
		row.pool = PoolName(text);
		return IsName(text);
	}
	std::optional<uint32_t> n;
	if (column == "class") {
		n = ParseChoice(text, {"urgent", "normal", "batch"});
		row.work_class = static_cast<WorkClass>(n.value_or(0));
	} else if (column == "guard") {
		n = ParseChoice(text, {"none", "box", "rack", "zone"});
		row.guard = static_cast<Guard>(n.value_or(0));
	} else if (column == "repeatable") {
		n = ParseChoice(text, {"no", "yes"});
		row.repeatable = n == 1U;
	} else {
		n = ParseNumber(text);
		const uint32_t value = n.value_or(0);
		if (column == "weight") {
			row.weight = value;
		} else if (column == "floor") {
			row.floor = Slots(value);
		} else if (column == "ceiling") {
			row.ceiling = Slots(value);
		} else if (column == "zone_budget") {
			row.zone_budget = value;
		} else if (column == "rack_budget") {
			row.rack_budget = value;
		}
	}
	return n.has_value();
}

/**
 * Compiles the row of a service.
 * @param service Name of the service.
 * @param cells The table.
 * @param[out] row The row.
 * @return RC_OK or the error, with the cell.
 */
Result CompileRow(const ServiceName &service, const std::map<CellKey, Cell> &cells, ServiceRow &row)
{
	row.service = service;
	for (const ColumnSpec &column : _columns) {
		const auto it = cells.find(CellKey{service, column.name});
		const std::string text = it == cells.end() || it->second.value.empty() ? column.fallback : it->second.value;
		if (!SetField(row, column.name, text)) {
			return {ResultCode::RC_CELL_VALUE, "row " + service.Value() + ", column " + column.name + ": '" + text +
													   "', expected " + column.expected};
		}
	}
	if (row.floor > row.ceiling) {
		return {ResultCode::RC_FLOOR_OVER_CEILING, "row " + service.Value() + ": floor " +
														   std::to_string(row.floor.Value()) + ", ceiling " +
														   std::to_string(row.ceiling.Value())};
	}
	return {};
}

/**
 * Splits a CSV line. There is no quoting, as names and values contain no commas.
 * @param line The line.
 * @return Fields without leading and trailing blanks.
 */
std::vector<std::string> SplitLine(const std::string &line)
{
	std::vector<std::string> fields;
	std::istringstream in(line);
	std::string field;
	while (std::getline(in, field, ',')) {
		const auto first = field.find_first_not_of(" \t\r");
		const auto last = field.find_last_not_of(" \t\r");
		fields.push_back(first == std::string::npos ? "" : field.substr(first, last - first + 1));
	}
	return fields;
}

/** @return Result of reading a table file that has an error. @param line Its line, from 1. @param what The error. */
TableFile FileError(int line, const std::string &what)
{
	return {Result{ResultCode::RC_TABLE_FILE, "line " + std::to_string(line) + ": " + what}, {}};
}

/**
 * @param name A column's name.
 * @return Whether the table has such a column.
 */
bool IsColumn(const std::string &name)
{
	return std::ranges::any_of(_columns, [&](const ColumnSpec &it) { return name == it.name; });
}

/**
 * Checks the header line of a table file.
 * @param header Fields of the line.
 * @return The error, empty for a valid header.
 */
std::string HeaderError(const std::vector<std::string> &header)
{
	if (header.empty() || header[0] != "service") {
		return "expected a header that starts with 'service'";
	}
	std::set<std::string> seen;
	for (size_t i = 1; i < header.size(); i++) {
		const std::string &name = header[i];
		if (!IsColumn(name)) {
			return "unknown column '" + name + "'";
		}
		if (!seen.insert(name).second) {
			return "column '" + name + "' appears twice";
		}
	}
	return "";
}

} // namespace

std::span<const ColumnSpec> TableColumns()
{
	return _columns;
}

CompiledTable CompileRows(const std::map<CellKey, Cell> &cells)
{
	CompiledTable table;
	for (const auto &[key, cell] : cells) {
		if (!IsColumn(key.column)) {
			table.result = {ResultCode::RC_CELL_COLUMN, "row " + key.service.Value() + ", column " + key.column};
			return table;
		}
		if (!IsName(key.service.Value())) {
			table.result = {ResultCode::RC_CELL_VALUE, "service name '" + key.service.Value() + "'"};
			return table;
		}
		if (table.rows.contains(key.service)) {
			continue;
		}
		table.result = CompileRow(key.service, cells, table.rows[key.service]);
		if (!table.result.Ok()) {
			return table;
		}
	}
	return table;
}

Result CheckCapacity(const std::map<ServiceName, ServiceRow> &rows, const std::map<BoxName, Box> &boxes)
{
	if (boxes.empty()) {
		return {};
	}
	const auto floor_of = [](uint64_t sum, const auto &it) { return sum + it.second.floor.Value(); };
	const auto slots_of = [](uint64_t sum, const auto &it) { return sum + it.second.slots.Value(); };
	const uint64_t floors = std::accumulate(rows.begin(), rows.end(), uint64_t{0}, floor_of);
	const uint64_t slots = std::accumulate(boxes.begin(), boxes.end(), uint64_t{0}, slots_of);
	if (floors > slots) {
		return {ResultCode::RC_FLOORS_OVER_CAPACITY,
				"floors " + std::to_string(floors) + " slots, boxes " + std::to_string(slots) + " slots"};
	}
	return {};
}

Result CmdPublishTable(CommandMode mode, FleetState &fleet, const TableEdit &edit, TableVersion version)
{
	if (edit.base > fleet.table_version) {
		return {ResultCode::RC_BASE_VERSION,
				"base " + std::to_string(edit.base.Value()) + ", table " + std::to_string(fleet.table_version.Value())};
	}
	std::map<CellKey, Cell> merged = fleet.cells;
	for (const CellEdit &it : edit.cells) {
		const auto old = merged.find(it.key);
		if (old != merged.end() && old->second.version > edit.base && old->second.value != it.value) {
			return {ResultCode::RC_CELL_CONFLICT,
					"row " + it.key.service.Value() + ", column " + it.key.column + ": '" + it.value + "' loses to '" +
							old->second.value + "' of version " + std::to_string(old->second.version.Value())};
		}
		merged[it.key] = Cell{it.value, version};
	}
	for (const ServiceName &service : edit.removed) {
		const auto is_later_cell = [&](const auto &it) {
			return it.first.service == service && it.second.version > edit.base;
		};
		const auto it = std::ranges::find_if(merged, is_later_cell);
		if (it != merged.end()) {
			return {ResultCode::RC_CELL_CONFLICT,
					"row " + service.Value() + " was changed by version " + std::to_string(it->second.version.Value())};
		}
		std::erase_if(merged, [&](const auto &cell) { return cell.first.service == service; });
	}
	CompiledTable table = CompileRows(merged);
	if (!table.result.Ok()) {
		return table.result;
	}
	if (Result fits = CheckCapacity(table.rows, fleet.boxes); !fits.Ok()) {
		return fits;
	}
	if (mode == CommandMode::CM_TEST) {
		return {};
	}
	/* Cells are changed one by one through Put() and Drop(), which update the hash of the state. */
	std::vector<CellKey> removed_keys;
	for (const auto &[key, cell] : fleet.cells) {
		if (!merged.contains(key)) {
			removed_keys.push_back(key);
		}
	}
	for (const CellKey &key : removed_keys) {
		fleet.Drop(fleet.cells, key);
	}
	for (const auto &[key, cell] : merged) {
		const auto old = fleet.cells.find(key);
		if (old == fleet.cells.end() || old->second != cell) {
			fleet.Put(fleet.cells, key, cell);
		}
	}
	fleet.rows = std::move(table.rows);
	fleet.table_version = version;
	return {};
}

TableFile ReadTableCsv(const std::string &text)
{
	TableFile file;
	std::istringstream in(text);
	std::string line;
	std::vector<std::string> header;
	std::set<std::string> services;
	for (int n = 1; std::getline(in, line); n++) {
		const std::vector<std::string> fields = SplitLine(line);
		if (fields.empty() || (fields.size() == 1 && fields[0].empty()) || fields[0].starts_with('#')) {
			continue;
		}
		if (header.empty()) {
			header = fields;
			if (const std::string error = HeaderError(header); !error.empty()) {
				return FileError(n, error);
			}
			continue;
		}
		if (fields.size() > header.size()) {
			return FileError(n, "expected at most " + std::to_string(header.size()) + " fields, found " +
										std::to_string(fields.size()));
		}
		if (!services.insert(fields[0]).second) {
			return FileError(n, "service '" + fields[0] + "' appears twice");
		}
		for (size_t i = 1; i < header.size(); i++) {
			file.cells[CellKey{ServiceName(fields[0]), header[i]}] = i < fields.size() ? fields[i] : "";
		}
	}
	if (header.empty()) {
		return FileError(1, "expected a header that starts with 'service'");
	}
	std::map<CellKey, Cell> cells;
	for (const auto &[key, value] : file.cells) {
		cells[key] = Cell{value, TableVersion(0)};
	}
	file.result = CompileRows(cells).result;
	return file;
}

std::string WriteTableCsv(const std::map<CellKey, Cell> &cells)
{
	std::string text = "service";
	for (const ColumnSpec &column : _columns) {
		text += std::string(",") + column.name;
	}
	text += '\n';
	std::set<ServiceName> services;
	for (const auto &[key, cell] : cells) {
		services.insert(key.service);
	}
	for (const ServiceName &service : services) {
		text += service.Value();
		for (const ColumnSpec &column : _columns) {
			const auto it = cells.find(CellKey{service, column.name});
			text += ',' + (it == cells.end() ? std::string() : it->second.value);
		}
		text += '\n';
	}
	return text;
}

TableEdit DiffTable(const std::map<CellKey, Cell> &cells, const std::map<CellKey, std::string> &file, TableVersion base)
{
	TableEdit edit;
	edit.base = base;
	std::set<ServiceName> kept;
	for (const auto &[key, value] : file) {
		kept.insert(key.service);
		const auto it = cells.find(key);
		if (it == cells.end() ? !value.empty() : it->second.value != value) {
			edit.cells.push_back(CellEdit{key, value});
		}
	}
	std::set<ServiceName> removed;
	for (const auto &[key, cell] : cells) {
		if (!kept.contains(key.service)) {
			removed.insert(key.service);
		}
	}
	edit.removed.assign(removed.begin(), removed.end());
	return edit;
}
