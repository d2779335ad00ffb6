/** @file settings.h Settings in YAML, checked against a table that also generates help and documentation. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "../error_type.h"
#include "../net/address_func.h"
#include "../strong_type.h"

#include <map>
#include <span>
#include <string>
#include <vector>

/** Type of a setting. */
enum class SettingKind : uint8_t {
	SK_TEXT = 0,      ///< Any text.
	SK_NAME = 1,      ///< A name: letters, digits, '-', '_' and '.'.
	SK_NUMBER = 2,    ///< A whole number in a range.
	SK_DURATION = 3,  ///< A whole number with unit ms, s, min, h or d, in a range.
	SK_ADDRESS = 4,   ///< IP:port.
	SK_ADDRESSES = 5, ///< A list of IP:port.
	SK_CHOICE = 6,    ///< One of several words.
	SK_RECORDS = 7,   ///< A list of maps with known fields.
	SK_DECIMAL = 8,   ///< A decimal number, in a range of thousandths.
};

/** One row of the settings table. */
struct SettingSpec {
	const char *name;          ///< Key.
	SettingKind kind;          ///< Type.
	const char *default_value; ///< Default value; null when the setting is required.
	int64_t minimum;           ///< Smallest number, duration (ms) or decimal (thousandths).
	int64_t maximum;           ///< Largest number, duration (ms) or decimal (thousandths).
	const char *choices; ///< Words of a choice or fields of a record, separated by '|'; an optional field ends in '?'.
	const char *help;    ///< One-line description.
};

/** One record of a setting of kind SK_RECORDS: values by field name. */
using SettingRecord = std::map<std::string, std::string>;

/** Settings of a program; all values are valid. All accessors but Records() throw std::out_of_range for an unknown
 * name. */
class Settings {
public:
	/** @return Value of a setting as text. */
	[[nodiscard]] const std::string &Text(const std::string &name) const;

	/** @return Value of a number setting. */
	[[nodiscard]] int64_t Number(const std::string &name) const;

	/** @return Value of a decimal setting, in thousandths. */
	[[nodiscard]] int64_t Thousandths(const std::string &name) const;

	/** @return Value of a duration setting. */
	[[nodiscard]] Millis Duration(const std::string &name) const;

	/** @return Value of an address setting. */
	[[nodiscard]] NetAddress Address(const std::string &name) const;

	/** @return Values of a setting that lists addresses. */
	[[nodiscard]] std::vector<NetAddress> Addresses(const std::string &name) const;

	/** @return Records of a setting; empty when the file has none. */
	[[nodiscard]] const std::vector<SettingRecord> &Records(const std::string &name) const;

private:
	friend class SettingsReader;

	std::map<std::string, std::string> values; ///< Text of each setting; items of a list are separated by commas.
	std::map<std::string, std::vector<SettingRecord>> record_sets; ///< Records of each setting.
};

/** Settings read from a file, or the first error. */
struct SettingsFile {
	Result result;     ///< RC_OK, or RC_SETTINGS with file, line and expected value.
	Settings settings; ///< The settings; valid when the result is RC_OK.
};

/**
 * Parses and checks settings.
 * @param file Name of the file, for error messages.
 * @param text Content of the file, in YAML.
 * @param table Settings table of the program.
 * @return The settings or the first error.
 */
SettingsFile ReadSettings(const std::string &file, const std::string &text, std::span<const SettingSpec> table);

/**
 * Describes a settings table for `--help`.
 * @param table The table.
 * @return One line per setting.
 */
std::string DescribeSettings(std::span<const SettingSpec> table);

/**
 * Describes a settings table for docs/settings.md.
 * @param program Name of the program.
 * @param table The table.
 * @return A section in Markdown.
 */
std::string SettingsPage(const std::string &program, std::span<const SettingSpec> table);

/**
 * Reads a duration such as 250ms, 2s, 5min, 4h or 21d.
 * @param text The text.
 * @param[out] value The duration.
 * @return Whether the text is a duration.
 */
bool ParseDuration(const std::string &text, Millis &value);

#endif /* SETTINGS_H */
