/** @file capacity_page.cpp Costs at the size of the letter1 preset, and the tables of docs/CAPACITY.md. */
#include "capacity_page.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

/* Counts of the letter1 preset, and the other sizes, rates and limits behind the figures. */
constexpr double BOXES = 1200;                     ///< Boxes.
constexpr double POOLS = 43;                       ///< Pools.
constexpr double TEAMS = 610;                      ///< Teams.
constexpr double ZONES = 10;                       ///< Availability zones.
constexpr double ENTRIES = 30;                     ///< Entries, ENTRIES_PER_ZONE in each zone.
constexpr double KEEPERS = 30;                     ///< Keepers, one on each entry box.
constexpr double ENTRIES_PER_ZONE = 3;             ///< Entries of a zone; it has as many keepers.
constexpr double JOBS_PER_DAY = 6000;              ///< Jobs per day, each kept for a day after its end.
constexpr double PUBLICATIONS_PER_DAY = 1700;      ///< Table publications per day.
constexpr double PROPOSALS_PER_MAINTENANCE = 6;    ///< Proposals logged for the maintenance of a box.
constexpr double MAINTENANCE_CYCLE_DAYS = 21;      ///< Days in which every box is maintained once.
constexpr double HEALTH_CHANGES_PER_DAY = 2 * 124; ///< 14 failures and 110 restarts, each down and up.
constexpr double RECORDS_PER_JOB = 3;              ///< Log records of a job: accept, place, report.
constexpr double SECONDS_PER_DAY = 86400;          ///< Seconds in a day.
constexpr double HELLOS_PER_SECOND = 2;            ///< Hellos, leases and keeper beats per second, each.
constexpr double LEASE_BYTES = 60;                 ///< Size of a lease frame.
constexpr double PLANNING_STEPS_PER_SECOND = 2;    ///< Planning steps per second.
constexpr double BASE64_GROWTH = 4.0 / 3.0;        ///< Growth of a record by base64, in the platform's HTTP interface.
constexpr double RECORD_ENVELOPE_BYTES = 90; ///< Bytes around a record in a read response, with its share of the polls.
constexpr double POLL_BYTES = 300;           ///< Request and response of a read without records, with headers.
/** Lending messages per entry under overload, from `glade_bench slots` with 3 entries. */
constexpr double SLOT_MESSAGES_PER_SECOND = 64;
constexpr double SLOT_MESSAGE_BYTES = 90;               ///< Size of a lending message.
constexpr double CPU_PERCENT_LIMIT = 3.9;               ///< CPU time of a process, percent of one core.
constexpr double MEMORY_BYTES_LIMIT = 256e6;            ///< Memory of a process.
constexpr double CONTROL_BYTES_PER_SECOND_LIMIT = 9000; ///< Control traffic of a process.
constexpr double APPENDS_PER_SECOND_LIMIT = 100;        ///< Appends to the platform's log, all writers.
constexpr double PROCESS_BYTES = 22e6;   ///< Resident memory of an idle entry or keeper (scripts/process_check.sh).
constexpr double LISTED_BOX_BYTES = 135; ///< Size of a box in the platform's list.

constexpr const char *TABLES_BEGIN_MARKER = "<!-- tables: begin -->"; ///< Line above the tables.
constexpr const char *TABLES_END_MARKER = "<!-- tables: end -->";     ///< Line below the tables.

/** Finds fits by quantity and count. Each pair that is asked for must exist. */
class FitLookup {
public:
	explicit FitLookup(const std::vector<LinearFit> &fits) : fits(fits) {}

	[[nodiscard]] double SlopeOf(const std::string &name, const std::string &count) const
	{
		return this->Find(name, count).per_count;
	}

	[[nodiscard]] double ValueAt(const std::string &name, const std::string &count, double n) const
	{
		const LinearFit &it = this->Find(name, count);
		return it.base + it.per_count * n;
	}

private:
	const std::vector<LinearFit> &fits; ///< All fits.

	[[nodiscard]] const LinearFit &Find(const std::string &name, const std::string &count) const
	{
		return *std::ranges::find_if(this->fits,
									 [&](const LinearFit &it) { return it.name == name && it.count == count; });
	}
};

/** @return The number with three significant digits below 10, else without decimal places. */
std::string FormatNumber(double value)
{
	std::ostringstream out;
	if (value != 0 && std::abs(value) < 10) {
		out << std::setprecision(3) << value;
	} else {
		out << std::fixed << std::setprecision(0) << value;
	}
	return out.str();
}

/** @return Both tables as Markdown. */
std::string TablesText(const std::vector<LinearFit> &fits, const CapacityTable &table)
{
	std::string text = "\n## Computed at letter 1's size\n\n| role | what | value | unit | limit | used | mechanism "
					   "that carries it |\n"
					   "|---|---|---|---|---|---|---|\n";
	for (const CapacityRow &it : table.rows) {
		const std::string used = it.limit == 0 ? "" : FormatNumber(it.value * 100 / it.limit) + "%";
		text += "| " + it.role + " | " + it.what + " | " + FormatNumber(it.value) + " | " + it.unit + " | " +
				(it.limit == 0 ? "" : FormatNumber(it.limit)) + " | " + used + " | " + it.mechanism + " |\n";
	}
	text += "\n## Slopes\n\nCommand: `glade_bench capacity --seed 1 --page docs/CAPACITY.md`; least squares over the "
			"points.\n\n"
			"| what | against | base | each | unit | points | residual |\n|---|---|---|---|---|---|---|\n";
	for (const LinearFit &it : fits) {
		text += "| " + it.name + " | " + it.count + " | " + FormatNumber(it.base) + " | " + FormatNumber(it.per_count) +
				" | " + it.unit + " | " + std::to_string(it.points) + " | " + FormatNumber(it.residual * 100) + "% |\n";
	}
	return text + "\n";
}

} // namespace

CapacityTable ComputeCapacity(const std::vector<LinearFit> &fits)
{
	const FitLookup lookup(fits);
	CapacityTable table;
	const auto add = [&](const char *role, const char *what, double value, const char *unit, double limit,
						 const char *mechanism) {
		table.rows.push_back(CapacityRow{role, what, value, unit, limit, mechanism});
	};
	const double changes_per_second =
			(PUBLICATIONS_PER_DAY + BOXES * PROPOSALS_PER_MAINTENANCE / MAINTENANCE_CYCLE_DAYS +
			 HEALTH_CHANGES_PER_DAY) /
			SECONDS_PER_DAY;
	const double job_records_per_second = JOBS_PER_DAY * RECORDS_PER_JOB / SECONDS_PER_DAY;
	const double log_bytes_per_second =
			PUBLICATIONS_PER_DAY / SECONDS_PER_DAY * lookup.ValueAt("publication of cells", "cells", 1) +
			(BOXES * PROPOSALS_PER_MAINTENANCE / MAINTENANCE_CYCLE_DAYS + HEALTH_CHANGES_PER_DAY +
			 JOBS_PER_DAY * RECORDS_PER_JOB) /
					SECONDS_PER_DAY * lookup.ValueAt("record of box steps", "steps", 1);
	const double state_bytes = lookup.ValueAt("state", "boxes", BOXES) + lookup.SlopeOf("state", "pools") * POOLS +
							   lookup.SlopeOf("state", "teams") * TEAMS + lookup.SlopeOf("state", "entries") * ENTRIES +
							   lookup.SlopeOf("state", "jobs") * 2 * JOBS_PER_DAY;
	const double view_bytes = lookup.ValueAt("whole view", "boxes of the zone", BOXES / ZONES) +
							  lookup.SlopeOf("whole view", "pools") * POOLS;
	const double view_delta_bytes = 300;

	add("entry", "state: its view", view_bytes, "B", MEMORY_BYTES_LIMIT,
		"view of its own zone only; deltas with a hash");
	add("entry", "memory", PROCESS_BYTES + view_bytes * 10, "B", MEMORY_BYTES_LIMIT,
		"bounded queues, keys and buffers");
	const double entry_bytes_per_second =
			HELLOS_PER_SECOND * (lookup.ValueAt("hello of an entry", "boxes draining", 1) + LEASE_BYTES) +
			changes_per_second * view_delta_bytes;
	add("entry", "control messages", 2 * HELLOS_PER_SECOND + changes_per_second, "1/s", 0,
		"one keeper connection; passive health sends nothing");
	add("entry", "control bytes, quiet", entry_bytes_per_second, "B/s", CONTROL_BYTES_PER_SECOND_LIMIT,
		"deltas; leases on the hello");
	add("entry", "control bytes, overload", entry_bytes_per_second + SLOT_MESSAGES_PER_SECOND * SLOT_MESSAGE_BYTES,
		"B/s", CONTROL_BYTES_PER_SECOND_LIMIT, "lending backs off while nobody lends");
	add("keeper", "state: the fold", state_bytes, "B", MEMORY_BYTES_LIMIT,
		"finished jobs forgotten after a day, silent writers after two weeks");
	add("keeper", "memory", PROCESS_BYTES + 2 * state_bytes, "B", MEMORY_BYTES_LIMIT,
		"one state and, while packing, one snapshot");
	const double log_read_bytes_per_second = log_bytes_per_second * BASE64_GROWTH +
											 (changes_per_second + job_records_per_second) * RECORD_ENVELOPE_BYTES +
											 POLL_BYTES;
	/* The whole list is sent again after every change: two per reboot (down, up), and other changes of health. */
	const double list_bytes_per_second =
			BOXES * LISTED_BOX_BYTES * (2 * BOXES / MAINTENANCE_CYCLE_DAYS + HEALTH_CHANGES_PER_DAY) / SECONDS_PER_DAY;
	const double beat_bytes_per_second = HELLOS_PER_SECOND * 2 * (ENTRIES_PER_ZONE - 1) *
										 lookup.ValueAt("keeper beat", "entries of the zone", ENTRIES_PER_ZONE);
	add("keeper", "control bytes",
		log_read_bytes_per_second + beat_bytes_per_second + entry_bytes_per_second + list_bytes_per_second, "B/s",
		CONTROL_BYTES_PER_SECOND_LIMIT, "long poll; list of boxes by version; beats within the zone; one entry each");
	/* A rate times microseconds, divided by 1e4, is percent of a core. */
	const double fold_cpu_percent =
			(changes_per_second + job_records_per_second) *
			(lookup.ValueAt("fold a record", "boxes", BOXES) + lookup.ValueAt("build a view", "boxes", BOXES)) / 1e4;
	add("keeper", "processor, following", fold_cpu_percent, "% of a core", CPU_PERCENT_LIMIT,
		"hash kept as a sum: a record costs what it touches");
	const double planning_cpu_percent =
			PLANNING_STEPS_PER_SECOND * lookup.ValueAt("planning step", "boxes", BOXES) / 1e4;
	add("planning keeper", "processor, planning", fold_cpu_percent + planning_cpu_percent, "% of a core",
		CPU_PERCENT_LIMIT, "one planner a region, by a term; pools pictured once a step");
	add("platform's log", "appends", 1.5 + changes_per_second + job_records_per_second, "1/s", APPENDS_PER_SECOND_LIMIT,
		"group commit: one append a tick and writer; planner's beat 0.5/s a region");
	add("platform's log", "bytes", log_bytes_per_second, "B/s", 0, "binary records; cells, not tables");
	add("platform's log", "readers", KEEPERS, "keepers", 0, "entries never read the log");
	add("platform's log", "snapshot",
		lookup.ValueAt("snapshot", "boxes", BOXES) + lookup.SlopeOf("state", "jobs") * 2 * JOBS_PER_DAY, "B", 0,
		"chunks of 48 KB in the bulk priority");
	return table;
}

bool WriteCapacityPage(const std::string &file, const std::vector<LinearFit> &fits, const CapacityTable &table)
{
	std::ifstream in(file);
	std::ostringstream out;
	out << in.rdbuf();
	std::string page = out.str();
	const size_t begin = page.find(TABLES_BEGIN_MARKER);
	const size_t end = page.find(TABLES_END_MARKER);
	if (begin == std::string::npos || end == std::string::npos || end < begin) {
		std::cerr << file << ": expected the lines '" << TABLES_BEGIN_MARKER << "' and '" << TABLES_END_MARKER << "'\n";
		return false;
	}
	const size_t from = begin + std::string(TABLES_BEGIN_MARKER).size();
	page.replace(from, end - from, "\n" + TablesText(fits, table));
	std::ofstream(file) << page;
	return true;
}
