/** @file settings.h Settings from YAML, checked against one table that also yields help and docs. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "../error_type.h"
#include "../net/address_func.h"
#include "../strong_type.h"

#include <map>
#include <span>
#include <string>
#include <vector>

/** What a setting holds. */
enum class SettingKind : uint8_t {
	SK_TEXT = 0,      ///< Any text.
	SK_NAME = 1,      ///< A name: letters, digits, '-', '_' and '.'.
	SK_NUMBER = 2,    ///< A whole number in a range.
	SK_DURATION = 3,  ///< A whole number with ms, s, min, h or d, in a range.
	SK_ADDRESS = 4,   ///< IP:port.
	SK_ADDRESSES = 5, ///< A list of IP:port.
	SK_CHOICE = 6,    ///< One of several words.
	SK_RECORDS = 7,   ///< A list of maps with known fields.
	SK_DECIMAL = 8,   ///< A decimal number, in a range of thousandths.
};

/** One row of the settings table. */
struct SettingSpec {
	const char *name;     ///< Key.
	SettingKind kind;     ///< What it holds.
	const char *fallback; ///< Value when the file has none; null when the file must have one.
	int64_t low;          ///< Smallest number, duration (ms) or decimal (thousandths).
	int64_t high;         ///< Largest number, duration (ms) or decimal (thousandths).
	const char *choices;  ///< Words of a choice, or fields of records, separated by '|'. A field with '?' may lack.
	const char *help;     ///< What it is for, in a line.
};

/** One record of a setting of kind SK_RECORDS: its fields by name. */
using SettingRecord = std::map<std::string, std::string>;

/** Settings as read; every value is checked. */
class Settings {
public:
	/** @return Text of a setting. */
	[[nodiscard]] const std::string &Text(const std::string &name) const;

	/** @return Value of a whole number. */
	[[nodiscard]] int64_t Number(const std::string &name) const;

	/** @return Value of a decimal, in thousandths. */
	[[nodiscard]] int64_t Thousandths(const std::string &name) const;

	/** @return Value of a duration. */
	[[nodiscard]] Millis Duration(const std::string &name) const;

	/** @return An address. */
	[[nodiscard]] NetAddress Address(const std::string &name) const;

	/** @return A list of addresses. */
	[[nodiscard]] std::vector<NetAddress> Addresses(const std::string &name) const;

	/** @return A list of records. */
	[[nodiscard]] const std::vector<SettingRecord> &Records(const std::string &name) const;

private:
	friend class SettingsReader;

	std::map<std::string, std::string> values;                     ///< Text of each setting; lists by commas.
	std::map<std::string, std::vector<SettingRecord>> record_sets; ///< Records of each setting.
};

/** Settings or the first error. */
struct SettingsFile {
	Result result;     ///< RC_OK, or file, line and what was expected.
	Settings settings; ///< The settings.
};

/**
 * Reads settings.
 * @param file Name of the file, for messages.
 * @param text Its text.
 * @param table The table.
 * @return The settings or the first error.
 */
SettingsFile ReadSettings(const std::string &file, const std::string &text, std::span<const SettingSpec> table);

/**
 * Describes a table for `--help`.
 * @param table The table.
 * @return A line a setting.
 */
std::string DescribeSettings(std::span<const SettingSpec> table);

/**
 * Describes a table for docs/settings.md.
 * @param program Name of the program.
 * @param table The table.
 * @return A section in Markdown.
 */
std::string SettingsPage(const std::string &program, std::span<const SettingSpec> table);

/**
 * Reads a duration such as 250ms, 2s, 5min, 4h or 21d.
 * @param text The text.
 * @param[out] value The duration.
 * @return Whether it is one.
 */
bool ParseDuration(const std::string &text, Millis &value);

#endif /* SETTINGS_H */
