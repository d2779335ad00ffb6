/** @file capacity_page.cpp What letter 1's size costs, computed from slopes, and the tables of docs/CAPACITY.md. */
#include "capacity_page.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

/* Letter 1's size. */
constexpr double BOXES = 1200;           ///< Boxes.
constexpr double POOLS = 43;             ///< Pools.
constexpr double TEAMS = 610;            ///< Teams.
constexpr double ZONES = 10;             ///< Availability zones.
constexpr double ENTRIES = 30;           ///< Entries, three a zone.
constexpr double KEEPERS = 30;           ///< Keepers, one on each entry box.
constexpr double PER_ZONE = 3;           ///< Entries, and keepers, of a zone.
constexpr double JOBS = 6000;            ///< Jobs a day, remembered for a day after their end.
constexpr double CHANGES_A_DAY = 1700;   ///< Publications a day.
constexpr double STEPS_A_BOX = 6;        ///< Records' proposals of one maintenance.
constexpr double DAYS_A_CYCLE = 21;      ///< Every box once in this time.
constexpr double HEALTH_A_DAY = 2 * 124; ///< Changes of health: 14 failures and 110 restarts, down and up.
constexpr double RECORDS_A_JOB = 3;      ///< Accept, place, report.
constexpr double DAY = 86400;            ///< Seconds in a day.
constexpr double HELLOS_A_SECOND = 2;    ///< Hellos, leases and beats a second.
constexpr double LEASE_BYTES = 60;       ///< Bytes of a lease frame.
constexpr double PLANS_A_SECOND = 2;     ///< Planning steps a second.
constexpr double BASE64 = 4.0 / 3.0;     ///< Growth of a record on its way through the platform's HTTP interface.
constexpr double RECORD_ENVELOPE = 90;   ///< Bytes around a record in a read answer, and of polls, per record.
constexpr double POLL_BYTES = 300;       ///< Bytes of a read without records, request and answer with headers.
constexpr double SLOT_MESSAGES =
		64; ///< Messages of lending a second and entry under overload (glade_bench slots, 3 entries).
constexpr double SLOT_BYTES = 90;      ///< Bytes of such a message.
constexpr double CPU_LIMIT = 3.9;      ///< Percent of a core.
constexpr double MEMORY_LIMIT = 256e6; ///< Bytes.
constexpr double BYTES_LIMIT = 9000;   ///< Bytes a second.
constexpr double APPENDS_LIMIT = 100;  ///< Appends a second.
constexpr double PROCESS_BYTES = 22e6; ///< Resident memory of an idle entry or keeper (scripts/process_check.sh).
constexpr double LIST_BOX_BYTES = 135; ///< Bytes of a box in the platform's list.

constexpr const char *MARK_BEGIN = "<!-- tables: begin -->"; ///< Line before the tables.
constexpr const char *MARK_END = "<!-- tables: end -->";     ///< Line behind them.

/** Looks slopes up by name. */
class SlopeBook {
public:
	explicit SlopeBook(const std::vector<Slope> &slopes) : slopes(slopes) {}

	[[nodiscard]] double Each(const std::string &name, const std::string &count) const
	{
		return this->Find(name, count).per_count;
	}

	[[nodiscard]] double At(const std::string &name, const std::string &count, double n) const
	{
		const Slope &it = this->Find(name, count);
		return it.base + it.per_count * n;
	}

private:
	const std::vector<Slope> &slopes; ///< All slopes.

	[[nodiscard]] const Slope &Find(const std::string &name, const std::string &count) const
	{
		return *std::ranges::find_if(this->slopes,
									 [&](const Slope &it) { return it.name == name && it.count == count; });
	}
};

std::string Number(double value)
{
	std::ostringstream out;
	if (value != 0 && std::abs(value) < 10) {
		out << std::setprecision(3) << value;
	} else {
		out << std::fixed << std::setprecision(0) << value;
	}
	return out.str();
}

std::string TablesText(const std::vector<Slope> &slopes, const CapacityTable &table)
{
	std::string text = "\n## Computed at letter 1's size\n\n| role | what | value | unit | limit | used | mechanism "
					   "that carries it |\n"
					   "|---|---|---|---|---|---|---|\n";
	for (const CapacityRow &it : table.rows) {
		const std::string used = it.limit == 0 ? "" : Number(it.value * 100 / it.limit) + "%";
		text += "| " + it.role + " | " + it.what + " | " + Number(it.value) + " | " + it.unit + " | " +
				(it.limit == 0 ? "" : Number(it.limit)) + " | " + used + " | " + it.mechanism + " |\n";
	}
	text += "\n## Slopes\n\nCommand: `glade_bench capacity --seed 1 --page docs/CAPACITY.md`; least squares over the "
			"points.\n\n"
			"| what | against | base | each | unit | points | residual |\n|---|---|---|---|---|---|---|\n";
	for (const Slope &it : slopes) {
		text += "| " + it.name + " | " + it.count + " | " + Number(it.base) + " | " + Number(it.per_count) + " | " +
				it.unit + " | " + std::to_string(it.points) + " | " + Number(it.residual * 100) + "% |\n";
	}
	return text + "\n";
}

} // namespace

CapacityTable ComputeCapacity(const std::vector<Slope> &slopes)
{
	const SlopeBook book(slopes);
	CapacityTable table;
	const auto add = [&](const char *role, const char *what, double value, const char *unit, double limit,
						 const char *mechanism) {
		table.rows.push_back(CapacityRow{role, what, value, unit, limit, mechanism});
	};
	const double changes = (CHANGES_A_DAY + BOXES * STEPS_A_BOX / DAYS_A_CYCLE + HEALTH_A_DAY) / DAY;
	const double job_records = JOBS * RECORDS_A_JOB / DAY;
	const double log_bytes = CHANGES_A_DAY / DAY * book.At("publication of cells", "cells", 1) +
							 (BOXES * STEPS_A_BOX / DAYS_A_CYCLE + HEALTH_A_DAY + JOBS * RECORDS_A_JOB) / DAY *
									 book.At("record of box steps", "steps", 1);
	const double state = book.At("state", "boxes", BOXES) + book.Each("state", "pools") * POOLS +
						 book.Each("state", "teams") * TEAMS + book.Each("state", "entries") * ENTRIES +
						 book.Each("state", "jobs") * 2 * JOBS;
	const double view =
			book.At("whole view", "boxes of the zone", BOXES / ZONES) + book.Each("whole view", "pools") * POOLS;
	const double delta = 300;

	add("entry", "state: its view", view, "B", MEMORY_LIMIT, "view of its own zone only; deltas with a hash");
	add("entry", "memory", PROCESS_BYTES + view * 10, "B", MEMORY_LIMIT, "bounded queues, keys and buffers");
	const double entry_bytes =
			HELLOS_A_SECOND * (book.At("hello of an entry", "boxes draining", 1) + LEASE_BYTES) + changes * delta;
	add("entry", "control messages", 2 * HELLOS_A_SECOND + changes, "1/s", 0,
		"one keeper connection; passive health sends nothing");
	add("entry", "control bytes, quiet", entry_bytes, "B/s", BYTES_LIMIT, "deltas; leases on the hello");
	add("entry", "control bytes, overload", entry_bytes + SLOT_MESSAGES * SLOT_BYTES, "B/s", BYTES_LIMIT,
		"lending backs off while nobody lends");
	add("keeper", "state: the fold", state, "B", MEMORY_LIMIT,
		"finished jobs forgotten after a day, silent writers after two weeks");
	add("keeper", "memory", PROCESS_BYTES + 2 * state, "B", MEMORY_LIMIT, "one state and, while packing, one snapshot");
	const double keeper_in = log_bytes * BASE64 + (changes + job_records) * RECORD_ENVELOPE + POLL_BYTES;
	/* The list goes over the wire whole when it has changed: reboots and changes of health, each down and up. */
	const double list_bytes = BOXES * LIST_BOX_BYTES * (2 * BOXES / DAYS_A_CYCLE + HEALTH_A_DAY) / DAY;
	const double beats = HELLOS_A_SECOND * 2 * (PER_ZONE - 1) * book.At("keeper beat", "entries of the zone", PER_ZONE);
	add("keeper", "control bytes", keeper_in + beats + entry_bytes + list_bytes, "B/s", BYTES_LIMIT,
		"long poll; list of boxes by version; beats within the zone; one entry each");
	const double fold_cpu = (changes + job_records) *
							(book.At("fold a record", "boxes", BOXES) + book.At("build a view", "boxes", BOXES)) / 1e4;
	add("keeper", "processor, following", fold_cpu, "% of a core", CPU_LIMIT,
		"hash kept as a sum: a record costs what it touches");
	const double plan_cpu = PLANS_A_SECOND * book.At("planning step", "boxes", BOXES) / 1e4;
	add("planning keeper", "processor, planning", fold_cpu + plan_cpu, "% of a core", CPU_LIMIT,
		"one planner a region, by a term; pools pictured once a step");
	add("platform's log", "appends", 1.5 + changes + job_records, "1/s", APPENDS_LIMIT,
		"group commit: one append a tick and writer; planner's beat 0.5/s a region");
	add("platform's log", "bytes", log_bytes, "B/s", 0, "binary records; cells, not tables");
	add("platform's log", "readers", KEEPERS, "keepers", 0, "entries never read the log");
	add("platform's log", "snapshot", book.At("snapshot", "boxes", BOXES) + book.Each("state", "jobs") * 2 * JOBS, "B",
		0, "chunks of 48 KB in the bulk priority");
	return table;
}

bool WriteCapacityPage(const std::string &file, const std::vector<Slope> &slopes, const CapacityTable &table)
{
	std::ifstream in(file);
	std::ostringstream out;
	out << in.rdbuf();
	std::string page = out.str();
	const size_t begin = page.find(MARK_BEGIN);
	const size_t end = page.find(MARK_END);
	if (begin == std::string::npos || end == std::string::npos || end < begin) {
		std::cerr << file << ": expected the lines '" << MARK_BEGIN << "' and '" << MARK_END << "'\n";
		return false;
	}
	const size_t from = begin + std::string(MARK_BEGIN).size();
	page.replace(from, end - from, "\n" + TablesText(slopes, table));
	std::ofstream(file) << page;
	return true;
}
