/** @file test_docs.cpp Generated documentation pages are up to date, and errors in settings are specific. */
#include "golden.h"

#include "error_type.h"
#include "program/settings_tables.h"

#include <doctest/doctest.h>

namespace {

std::string ErrorsPage()
{
	std::string text = "# Result codes\n\nMade from the table in `src/error_type.h`; a test compares them. 1xxx: fold, "
					   "2xxx: requests, "
					   "3xxx: settings and command line,\n4xxx: platform and peers. The HTTP status is what a caller "
					   "sees with it.\n\n"
					   "| code | symbol | meaning | HTTP |\n|---|---|---|---|\n";
#define X(symbol, number, meaning, http)                                                                               \
	text += "| " #number " | " #symbol " | " meaning " | " + std::string(http == 0 ? "" : #http) + " |\n";
	GLADE_RESULT_TABLE(X)
#undef X
	return text + "\nRefusals carry `Glade-Run: no` (certainly not run) or `Glade-Run: unknown`, `Glade-Code`, a JSON "
				  "body with the same, and\n"
				  "`Retry-After` where coming back later helps.\n\nExit codes of all programs: 0 done, 1 refused or "
				  "failed, 2 wrong command line, "
				  "3 wrong settings, 4 an address can't be\nlistened on or nobody answered, 5 outcome unknown: ask "
				  "again with the id.\n";
}

Result ReadEndpointSettings(const std::string &text)
{
	return ReadSettings("f.yaml", text, EndpointStandinSettings()).result;
}

} // namespace

TEST_CASE("docs: the pages of settings and result codes match the tables in the code")
{
	CHECK(ReadOrUpdateFile("../docs/settings.md", AllSettingsPage()) == AllSettingsPage());
	CHECK(ReadOrUpdateFile("../docs/errors.md", ErrorsPage()) == ErrorsPage());
}

TEST_CASE("settings: the error for a wrong key, type, range or address names file, line and expected value")
{
	CHECK(ReadEndpointSettings("listen: 127.0.0.1:1\nname: a\n").Ok());
	CHECK(ReadEndpointSettings("name: a\n").detail == "f.yaml: setting 'listen' is missing, expected IP:port");
	CHECK(ReadEndpointSettings("listen: 127.0.0.1:1\nname: a\ncolour: red\n").detail ==
		  "f.yaml:3: unknown setting 'colour'");
	CHECK(ReadEndpointSettings("listen: localhost:1\nname: a\n").detail ==
		  "f.yaml:1: listen: expected IP:port, found 'localhost:1'");
	CHECK(ReadEndpointSettings("listen: 127.0.0.1:1\nname: a\nslots: 0\n").detail ==
		  "f.yaml:3: slots: expected whole number from 1 to 10000, found '0'");
	CHECK(ReadEndpointSettings("listen: 127.0.0.1:1\nname: a\nwork: 5\n")
				  .detail.starts_with("f.yaml:3: work: expected duration from 0ms to 1d"));
	CHECK(ReadEndpointSettings("listen: 127.0.0.1:1\nname: a b\n")
				  .detail.starts_with("f.yaml:2: name: expected name of letters"));
	CHECK(ReadEndpointSettings("listen: 127.0.0.1:1\nname: a\nname: b\n").detail ==
		  "f.yaml:3: setting 'name' appears twice");
	CHECK(ReadEndpointSettings("listen: [1, 2]\nname: a\n").detail ==
		  "f.yaml:1: listen: expected IP:port, found no scalar value");
	CHECK(ReadEndpointSettings("listen: {\n").detail.starts_with("f.yaml:"));
	const auto platform = [](const std::string &text) {
		return ReadSettings("f.yaml", text, PlatformStandinSettings()).result;
	};
	CHECK(platform("listen: 127.0.0.1:1\nboxes:\n  - {name: a, zone: b, rack: c, address: d, size: 1}\n").detail ==
		  "f.yaml:3: boxes: unknown field 'size'");
	CHECK(platform("listen: 127.0.0.1:1\nboxes:\n  - {name: a, zone: b, rack: c}\n").detail ==
		  "f.yaml:3: boxes: field 'address' is missing");
	Millis value;
	CHECK(ParseDuration("21d", value));
	CHECK(value == Millis(21 * MS_PER_DAY));
	CHECK_FALSE(ParseDuration("d", value));
	CHECK_FALSE(ParseDuration("99999999999999999d", value));
}
