/** @file settings_tables.cpp The settings tables of all programs. */
#include "settings_tables.h"

#include <array>

namespace {

using enum SettingKind;

constexpr int64_t ONE_DAY = MS_PER_DAY;        ///< Upper limit of most durations, ms.
constexpr int64_t MAX_SIZE_BYTES = 1073741824; ///< Upper limit of sizes, bytes: 1 GiB.

constexpr std::array _entry = {
		SettingSpec{"name", SK_NAME, nullptr, 0, 0, "", "Name of this process, unique in the deployment."},
		SettingSpec{"region", SK_NAME, "main", 0, 0, "", "Region of this process."},
		SettingSpec{"zone", SK_NAME, nullptr, 0, 0, "", "Availability zone of this process."},
		SettingSpec{"callers", SK_ADDRESS, nullptr, 0, 0, "", "Where callers connect, behind the balancer."},
		SettingSpec{"peers", SK_ADDRESS, nullptr, 0, 0, "", "Where other entries connect; only they may reach it."},
		SettingSpec{"frames", SK_ADDRESS, nullptr, 0, 0, "",
					"Where entries of the zone lend each other slots; only they may reach it."},
		SettingSpec{"status", SK_ADDRESS, nullptr, 0, 0, "",
					"Where operators read the state dump and the balancer the health."},
		SettingSpec{"keepers", SK_ADDRESSES, nullptr, 0, 0, "", "Keepers of this availability zone, nearest first."},
		SettingSpec{"credentials", SK_RECORDS, "", 0, 0, "tenant|token_sha256|services?",
					"Member firms: hash of their token, and the services they may use (all when empty, else separated "
					"by blanks)."},
		SettingSpec{"lanes", SK_NUMBER, "2", 1, 64, "", "Threads that carry requests."},
		SettingSpec{"body_bytes", SK_NUMBER, "1048576", 1024, MAX_SIZE_BYTES, "", "Longest body of a request, bytes."},
		SettingSpec{"head_bytes", SK_NUMBER, "16384", 1024, 1048576, "", "Longest head of a request, bytes."},
		SettingSpec{"head_wait", SK_DURATION, "10s", 10, ONE_DAY, "", "A head that is not whole by then is refused."},
		SettingSpec{"body_wait", SK_DURATION, "30s", 10, ONE_DAY, "", "A body that is not whole by then is refused."},
		SettingSpec{"idle_wait", SK_DURATION, "60s", 10, ONE_DAY, "",
					"A caller's connection idle for so long is closed."},
		SettingSpec{"deadline_urgent", SK_DURATION, "1s", 1, ONE_DAY, "",
					"Deadline of urgent requests that name none."},
		SettingSpec{"deadline_normal", SK_DURATION, "10s", 1, ONE_DAY, "",
					"Deadline of normal requests that name none."},
		SettingSpec{"deadline_batch", SK_DURATION, "60s", 1, ONE_DAY, "", "Deadline of batch requests that name none."},
		SettingSpec{"queue_limit", SK_NUMBER, "256", 1, 100000, "",
					"Requests of a service that may wait in this entry."},
		SettingSpec{"connect_wait", SK_DURATION, "1s", 10, 60000, "",
					"A connection to an endpoint that does not stand by then failed."},
		SettingSpec{"detach_patience", SK_DURATION, "30s", 10, ONE_DAY, "",
					"How long an endpoint may work on after its caller has left or was told that the deadline passed."},
		SettingSpec{"settle", SK_DURATION, "4s", 100, ONE_DAY, "",
					"How long after a change among the entries of a zone the old owner of a key may still act; over "
					"lease and freshness of the keepers."},
		SettingSpec{"clock_skew", SK_DURATION, "2s", 0, ONE_DAY, "",
					"How far clocks of callers, entries and the log may differ."},
		SettingSpec{"key_window", SK_DURATION, "10min", 1000, ONE_DAY, "",
					"Age up to which an idempotency key is accepted."},
		SettingSpec{"stop_wait", SK_DURATION, "60s", 0, ONE_DAY, "",
					"A planned stop waits so long for requests under way."},
		SettingSpec{"leave_wait", SK_DURATION, "1s", 0, 60000, "",
					"A planned stop goes on serving so long after the health check fails, so that the balancer can see "
					"it."},
};

constexpr std::array _keeper = {
		SettingSpec{"name", SK_NAME, nullptr, 0, 0, "", "Name of this process, unique in the deployment."},
		SettingSpec{"region", SK_NAME, "main", 0, 0, "", "Region of this process."},
		SettingSpec{"zone", SK_NAME, nullptr, 0, 0, "", "Availability zone of this process."},
		SettingSpec{"frames", SK_ADDRESS, nullptr, 0, 0, "", "Where entries, keepers and operators connect."},
		SettingSpec{"status", SK_ADDRESS, nullptr, 0, 0, "", "Where operators read the state dump."},
		SettingSpec{"platform", SK_ADDRESS, nullptr, 0, 0, "",
					"The platform's log, list of boxes and control of boxes."},
		SettingSpec{"peers", SK_ADDRESSES, "", 0, 0, "", "Other keepers, those of this availability zone first."},
		SettingSpec{"policy", SK_CHOICE, "greenhouse", 0, 0, "greenhouse|lindeboom",
					"Weights of the planner: fewest moves, or least buffer and fastest roll-out."},
		SettingSpec{"cycle", SK_DURATION, "21d", 1000, 365 * ONE_DAY, "", "Every box is maintained once in this time."},
		SettingSpec{"lead", SK_DURATION, "21d", 1000, 365 * ONE_DAY, "",
					"How long before its deadline a box may be taken."},
		SettingSpec{"lease", SK_DURATION, "2s", 100, 60000, "", "Lease on the view of an entry."},
		SettingSpec{"fresh", SK_DURATION, "1500ms", 50, 60000, "",
					"The log must have answered within this time for a lease to be given."},
		SettingSpec{"lapse", SK_DURATION, "6s", 200, 600000, "",
					"An entry or keeper of the zone silent for so long has lapsed; over the lease."},
		SettingSpec{"plan_tick", SK_DURATION, "500ms", 20, 60000, "", "Time between two planning steps."},
		SettingSpec{"list_tick", SK_DURATION, "1s", 20, 60000, "",
					"Time between two looks at the platform's list of boxes."},
		SettingSpec{"planner_silence", SK_DURATION, "6s", 200, 600000, "",
					"A planner that wrote nothing for so long may be replaced."},
		SettingSpec{"snapshot_records", SK_NUMBER, "2000", 10, 1000000, "",
					"Records after which a snapshot is written."},
		SettingSpec{
				"snapshot_age", SK_DURATION, "6h", 1000, 30 * ONE_DAY, "",
				"Age of the newest snapshot after which another is written; a quarter of the log's retention or less."},
};

constexpr std::array _platform = {
		SettingSpec{"listen", SK_ADDRESS, nullptr, 0, 0, "", "Where the stand-in listens."},
		SettingSpec{"boxes", SK_RECORDS, nullptr, 0, 0, "name|zone|rack|address|slots?", "The boxes that it lists."},
		SettingSpec{"appends_per_second", SK_NUMBER, "100", 1, 100000, "", "Appends taken a second."},
		SettingSpec{"retention", SK_DURATION, "7d", 100, 365 * ONE_DAY, "", "Age up to which records are kept."},
		SettingSpec{"records", SK_NUMBER, "1000000", 10, 100000000, "", "Records kept at most."},
		SettingSpec{"reboot_time", SK_DURATION, "2s", 0, ONE_DAY, "", "Time that a box is away for a reboot."},
		SettingSpec{"job_time", SK_DURATION, "1s", 0, ONE_DAY, "", "Time that a job runs."},
};

constexpr std::array _endpoint = {
		SettingSpec{"listen", SK_ADDRESS, nullptr, 0, 0, "", "Where the stand-in listens."},
		SettingSpec{"name", SK_NAME, nullptr, 0, 0, "", "Name of its box; answers carry it."},
		SettingSpec{"slots", SK_NUMBER, "8", 1, 10000, "",
					"Requests that it runs side by side; more are refused as not run."},
		SettingSpec{"work", SK_DURATION, "5ms", 0, ONE_DAY, "", "Time that a request takes."},
};

constexpr std::array _node = {
		SettingSpec{"name", SK_NAME, nullptr, 0, 0, "", "Name of this process, unique in the deployment."},
		SettingSpec{"zone", SK_NAME, nullptr, 0, 0, "", "Availability zone of this process."},
		SettingSpec{"callers", SK_ADDRESS, nullptr, 0, 0, "", "Where callers connect, behind the balancer."},
		SettingSpec{"ready", SK_ADDRESS, nullptr, 0, 0, "", "Where the balancer asks whether callers may come."},
		SettingSpec{"frames", SK_ADDRESS, nullptr, 0, 0, "",
					"Where other nodes ask about jobs; only they may reach it."},
		SettingSpec{"metrics", SK_ADDRESS, nullptr, 0, 0, "", "Where counters and histograms are read as text."},
		SettingSpec{"store", SK_ADDRESS, nullptr, 0, 0, "", "The platform's keyed log."},
		SettingSpec{"machines", SK_ADDRESS, nullptr, 0, 0, "", "Control of boxes as machines."},
		SettingSpec{"seeds", SK_ADDRESSES, "", 0, 0, "",
					"Hosts of some other nodes, asked for the configuration while the store says nothing; they may be "
					"gone."},
		SettingSpec{"advisor", SK_ADDRESSES, "", 0, 0, "",
					"Service that knows which boxes a route's policy allows; none when no route has one."},
		SettingSpec{"turn_gap", SK_DURATION, "3300ms", 0, ONE_DAY, "",
					"Time between the last order to machines of one node and the first of the next."},
		SettingSpec{"cpu", SK_DECIMAL, "1", 1, 1024000, "",
					"Cores that this process may use: nodes with twice as many take the shards first."},
		SettingSpec{"partitions", SK_NUMBER, "12", 1, 10000, "", "Partitions of a topic of the store."},
		SettingSpec{"group_silence", SK_DURATION, "1500ms", 1000, ONE_DAY, "",
					"A node that the store has not heard of for so long loses its shards."},
		SettingSpec{"lease", SK_DURATION, "4500ms", 500, ONE_DAY, "",
					"Lease of what runs on a box: bridges a change of owner, delays the restart from a dark box."},
		SettingSpec{"lease_max", SK_DURATION, "6s", 500, ONE_DAY, "", "Longest lease that boxes grant."},
		SettingSpec{"lines_per_second", SK_NUMBER, "40", 1, 100000, "", "Log lines of one kind written in a second."},
		SettingSpec{"leave_wait", SK_DURATION, "2200ms", 0, ONE_DAY, "",
					"Time that a stop goes on serving until the balancer has seen it."},
		SettingSpec{"stop_wait", SK_DURATION, "2500ms", 0, ONE_DAY, "",
					"Time that requests under way are given after that."},
};

} // namespace

std::span<const SettingSpec> NodeSettings()
{
	return _node;
}

std::span<const SettingSpec> EntrySettings()
{
	return _entry;
}

std::span<const SettingSpec> KeeperSettings()
{
	return _keeper;
}

std::span<const SettingSpec> PlatformStandinSettings()
{
	return _platform;
}

std::span<const SettingSpec> EndpointStandinSettings()
{
	return _endpoint;
}

std::string AllSettingsPage()
{
	return "# Settings\n\nMade from the settings tables in `src/program/settings_tables.cpp`; a test compares them.\n"
		   "`PROGRAM --settings FILE --check` validates a file without starting.\n\n" +
		   SettingsPage("glade_entry", _entry) + SettingsPage("glade_keeper", _keeper) +
		   SettingsPage("glade_node", _node) + SettingsPage("standin_platform", _platform) +
		   SettingsPage("standin_endpoint", _endpoint);
}
