/** @file settings.cpp Settings in YAML, checked against a table. */
#include "settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <sstream>

namespace {

/** Unit of a duration. */
struct DurationUnit {
	const char *suffix; ///< Suffix in the text.
	int64_t ms;         ///< Length of the unit, ms.
};

constexpr std::array _duration_units = {DurationUnit{"ms", 1}, DurationUnit{"min", 60 * MS_PER_SECOND},
										DurationUnit{"s", MS_PER_SECOND}, DurationUnit{"h", MS_PER_HOUR},
										DurationUnit{"d", MS_PER_DAY}};

constexpr double THOUSANDTHS_PER_UNIT = 1000; ///< Thousandths in 1.
constexpr double DECIMAL_MAX = 1e12;          ///< Largest decimal; its thousandths must fit into int64_t.

bool ParseNumber(const std::string &text, int64_t &n)
{
	const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
	return ec == std::errc() && end == text.data() + text.size();
}

std::vector<std::string> Split(const std::string &text, char separator)
{
	std::vector<std::string> parts;
	std::istringstream in(text);
	std::string part;
	while (std::getline(in, part, separator)) {
		parts.push_back(part);
	}
	return parts;
}

bool IsName(const std::string &text)
{
	constexpr std::string_view EXTRA = "-_.";
	return !text.empty() && std::ranges::all_of(text, [&](unsigned char c) {
		return std::isalnum(c) != 0 || EXTRA.find(static_cast<char>(c)) != std::string_view::npos;
	});
}

/** Formats a duration in the largest unit that divides it. */
std::string DurationText(int64_t ms)
{
	const DurationUnit *best = _duration_units.data();
	for (const DurationUnit &unit : _duration_units) {
		if (ms != 0 && ms % unit.ms == 0 && unit.ms > best->ms) {
			best = &unit;
		}
	}
	return std::to_string(ms / best->ms) + best->suffix;
}

std::string DecimalText(int64_t thousandths)
{
	std::ostringstream out;
	out << static_cast<double>(thousandths) / THOUSANDTHS_PER_UNIT;
	return out.str();
}

/** Parses a decimal and returns it in thousandths, truncated. */
std::optional<int64_t> ParseDecimal(const std::string &text)
{
	double value = 0;
	const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
	if (ec != std::errc() || end != text.data() + text.size() || !(std::abs(value) <= DECIMAL_MAX)) {
		return std::nullopt;
	}
	return static_cast<int64_t>(value * THOUSANDTHS_PER_UNIT);
}

/** @return Description of the valid values of a setting. */
std::string ExpectedOf(const SettingSpec &spec)
{
	switch (spec.kind) {
	case SettingKind::SK_TEXT:
		return "text";
	case SettingKind::SK_NAME:
		return "name of letters, digits, '-', '_' and '.'";
	case SettingKind::SK_NUMBER:
		return "whole number from " + std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum);
	case SettingKind::SK_DECIMAL:
		return "number from " + DecimalText(spec.minimum) + " to " + DecimalText(spec.maximum) + ", with decimals";
	case SettingKind::SK_DURATION:
		return "duration from " + DurationText(spec.minimum) + " to " + DurationText(spec.maximum) +
			   " (ms, s, min, h, d)";
	case SettingKind::SK_ADDRESS:
		return "IP:port";
	case SettingKind::SK_ADDRESSES:
		return "list of IP:port";
	case SettingKind::SK_CHOICE:
		return std::string("one of ") + spec.choices;
	case SettingKind::SK_RECORDS:
		return std::string("list of maps with ") + spec.choices;
	}
	return "";
}

/** @return Whether a text is a valid value, or a valid item of a list of addresses; false for SK_RECORDS. */
bool IsValidValue(const SettingSpec &spec, const std::string &text)
{
	int64_t n = 0;
	Millis duration;
	switch (spec.kind) {
	case SettingKind::SK_TEXT:
		return true;
	case SettingKind::SK_NAME:
		return IsName(text);
	case SettingKind::SK_NUMBER:
		return ParseNumber(text, n) && n >= spec.minimum && n <= spec.maximum;
	case SettingKind::SK_DECIMAL: {
		const std::optional<int64_t> thousandths = ParseDecimal(text);
		return thousandths && *thousandths >= spec.minimum && *thousandths <= spec.maximum;
	}
	case SettingKind::SK_DURATION:
		return ParseDuration(text, duration) && duration.Value() >= spec.minimum && duration.Value() <= spec.maximum;
	case SettingKind::SK_ADDRESS:
	case SettingKind::SK_ADDRESSES:
		return ParseAddress(text).has_value();
	case SettingKind::SK_CHOICE: {
		const std::vector<std::string> words = Split(spec.choices, '|');
		return std::ranges::find(words, text) != words.end();
	}
	case SettingKind::SK_RECORDS:
		break;
	}
	return false;
}

} // namespace

/** Parses one settings file; keeps the first error. */
class SettingsReader {
public:
	SettingsReader(std::string file, std::span<const SettingSpec> table) : file(std::move(file)), table(table) {}

	SettingsFile Read(const std::string &text)
	{
		try {
			const YAML::Node root = YAML::Load(text);
			if (!root.IsMap() && !root.IsNull()) {
				this->Fail(root, "expected a map of settings");
				return std::move(this->out);
			}
			this->ReadKeys(root);
		} catch (const YAML::Exception &e) {
			this->out.result = {ResultCode::RC_SETTINGS,
								this->file + ":" + std::to_string(e.mark.line + 1) + ": " + e.msg};
		}
		this->ApplyDefaults();
		return std::move(this->out);
	}

private:
	std::string file;                   ///< Name of the file, for error messages.
	std::span<const SettingSpec> table; ///< Settings table of the program.
	SettingsFile out;                   ///< Settings read so far and the first error.

	void Fail(const YAML::Node &node, const std::string &what)
	{
		if (this->out.result.Ok()) {
			this->out.result = {ResultCode::RC_SETTINGS,
								this->file + ":" + std::to_string(node.Mark().line + 1) + ": " + what};
		}
	}

	void ReadKeys(const YAML::Node &root)
	{
		for (const auto &pair : root) {
			const auto name = pair.first.as<std::string>();
			const auto spec = std::ranges::find_if(this->table, [&](const SettingSpec &it) { return name == it.name; });
			if (spec == this->table.end()) {
				this->Fail(pair.first, "unknown setting '" + name + "'");
			} else if (this->out.settings.values.contains(name)) {
				this->Fail(pair.first, "setting '" + name + "' appears twice");
			} else {
				this->ReadValue(*spec, pair.second);
			}
		}
	}

	void ReadValue(const SettingSpec &spec, const YAML::Node &node)
	{
		std::string &value = this->out.settings.values[spec.name];
		if (spec.kind == SettingKind::SK_RECORDS) {
			this->ReadRecords(spec, node);
			return;
		}
		if (spec.kind == SettingKind::SK_ADDRESSES && node.IsSequence()) {
			for (const YAML::Node &item : node) {
				this->CheckScalar(spec, item);
				value += (value.empty() ? "" : ",") + item.as<std::string>("");
			}
			return;
		}
		this->CheckScalar(spec, node);
		value = node.as<std::string>("");
	}

	void CheckScalar(const SettingSpec &spec, const YAML::Node &node)
	{
		if (!node.IsScalar() || !IsValidValue(spec, node.as<std::string>())) {
			const std::string found =
					node.IsScalar() ? "'" + node.as<std::string>() + "'" : std::string("no scalar value");
			this->Fail(node, std::string(spec.name) + ": expected " + ExpectedOf(spec) + ", found " + found);
		}
	}

	void ReadRecords(const SettingSpec &spec, const YAML::Node &node)
	{
		if (!node.IsSequence()) {
			this->Fail(node, std::string(spec.name) + ": expected " + ExpectedOf(spec));
			return;
		}
		const std::vector<std::string> fields = Split(spec.choices, '|');
		for (const YAML::Node &item : node) {
			SettingRecord record;
			if (!item.IsMap()) {
				this->Fail(item, std::string(spec.name) + ": expected " + ExpectedOf(spec));
				return;
			}
			for (const auto &pair : item) {
				const auto name = pair.first.as<std::string>();
				const bool known = std::ranges::any_of(
						fields, [&](const std::string &it) { return it == name || it == name + "?"; });
				if (!known) {
					this->Fail(pair.first, std::string(spec.name) + ": unknown field '" + name + "'");
				}
				record[name] = pair.second.as<std::string>("");
			}
			for (const std::string &field : fields) {
				if (field.back() != '?' && record[field].empty()) {
					this->Fail(item, std::string(spec.name) + ": field '" + field + "' is missing");
				}
			}
			this->out.settings.record_sets[spec.name].push_back(std::move(record));
		}
	}

	void ApplyDefaults()
	{
		for (const SettingSpec &spec : this->table) {
			if (this->out.settings.values.contains(spec.name)) {
				continue;
			}
			if (spec.default_value == nullptr && this->out.result.Ok()) {
				this->out.result = {ResultCode::RC_SETTINGS, this->file + ": setting '" + std::string(spec.name) +
																	 "' is missing, expected " + ExpectedOf(spec)};
			}
			this->out.settings.values[spec.name] = spec.default_value == nullptr ? "" : spec.default_value;
		}
	}
};

bool ParseDuration(const std::string &text, Millis &value)
{
	const size_t digits = text.find_first_not_of("0123456789");
	if (digits == 0 || digits == std::string::npos) {
		return false;
	}
	int64_t n = 0;
	const auto unit = std::ranges::find_if(_duration_units,
										   [&](const DurationUnit &it) { return text.substr(digits) == it.suffix; });
	if (unit == _duration_units.end() || !ParseNumber(text.substr(0, digits), n) || n > INT64_MAX / unit->ms) {
		return false;
	}
	value = Millis(n * unit->ms);
	return true;
}

SettingsFile ReadSettings(const std::string &file, const std::string &text, std::span<const SettingSpec> table)
{
	return SettingsReader(file, table).Read(text);
}

std::string DescribeSettings(std::span<const SettingSpec> table)
{
	std::string text;
	for (const SettingSpec &spec : table) {
		text += std::string("  ") + spec.name + ": " + spec.help + " Expected: " + ExpectedOf(spec) + ". ";
		text += spec.default_value == nullptr ? "Needed.\n" : "Default: '" + std::string(spec.default_value) + "'.\n";
	}
	return text;
}

std::string SettingsPage(const std::string &program, std::span<const SettingSpec> table)
{
	std::string text = "## " + program + "\n\n| setting | expected | default | meaning |\n|---|---|---|---|\n";
	for (const SettingSpec &spec : table) {
		std::string expected = ExpectedOf(spec);
		std::ranges::replace(expected, '|', '/');
		text += std::string("| `") + spec.name + "` | " + expected + " | ";
		text += (spec.default_value == nullptr ? std::string("needed") : "`" + std::string(spec.default_value) + "`") +
				" | " + spec.help + " |\n";
	}
	return text + "\n";
}

const std::string &Settings::Text(const std::string &name) const
{
	return this->values.at(name);
}

int64_t Settings::Thousandths(const std::string &name) const
{
	return ParseDecimal(this->values.at(name)).value_or(0);
}

int64_t Settings::Number(const std::string &name) const
{
	int64_t n = 0;
	ParseNumber(this->values.at(name), n);
	return n;
}

Millis Settings::Duration(const std::string &name) const
{
	Millis value;
	ParseDuration(this->values.at(name), value);
	return value;
}

NetAddress Settings::Address(const std::string &name) const
{
	return ParseAddress(this->values.at(name)).value_or(NetAddress());
}

std::vector<NetAddress> Settings::Addresses(const std::string &name) const
{
	std::vector<NetAddress> list;
	for (const std::string &part : Split(this->values.at(name), ',')) {
		if (const std::optional<NetAddress> it = ParseAddress(part); it) {
			list.push_back(*it);
		}
	}
	return list;
}

const std::vector<SettingRecord> &Settings::Records(const std::string &name) const
{
	static const std::vector<SettingRecord> _none;
	const auto it = this->record_sets.find(name);
	return it == this->record_sets.end() ? _none : it->second;
}
