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
		SettingSpec{"callers", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which callers connect, through the load balancer."},
		SettingSpec{"peers", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which other entries connect; must be reachable only for them."},
		SettingSpec{"frames", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which entries of the zone lend each other slots; must be reachable only for them."},
		SettingSpec{"status", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which operators read the state dump and the load balancer checks the health."},
		SettingSpec{"keepers", SK_ADDRESSES, nullptr, 0, 0, "",
					"Addresses of the keepers of this availability zone, nearest first."},
		SettingSpec{"credentials", SK_RECORDS, "", 0, 0, "tenant|token_sha256|services?",
					"Member firms: SHA-256 of their token and the services that they may use, separated by spaces; all "
					"services if empty."},
		SettingSpec{"lanes", SK_NUMBER, "2", 1, 64, "", "Number of threads that forward requests."},
		SettingSpec{"body_bytes", SK_NUMBER, "1048576", 1024, MAX_SIZE_BYTES, "",
					"Largest body of a request, in bytes."},
		SettingSpec{"head_bytes", SK_NUMBER, "16384", 1024, 1048576, "", "Largest head of a request, in bytes."},
		SettingSpec{"head_wait", SK_DURATION, "10s", 10, ONE_DAY, "",
					"Time limit for receiving a complete request head."},
		SettingSpec{"body_wait", SK_DURATION, "30s", 10, ONE_DAY, "",
					"Time limit for receiving a complete request body."},
		SettingSpec{"idle_wait", SK_DURATION, "60s", 10, ONE_DAY, "",
					"Idle time after which a caller's connection is closed."},
		SettingSpec{"deadline_urgent", SK_DURATION, "1s", 1, ONE_DAY, "", "Default deadline of urgent requests."},
		SettingSpec{"deadline_normal", SK_DURATION, "10s", 1, ONE_DAY, "", "Default deadline of normal requests."},
		SettingSpec{"deadline_batch", SK_DURATION, "60s", 1, ONE_DAY, "", "Default deadline of batch requests."},
		SettingSpec{"queue_limit", SK_NUMBER, "256", 1, 100000, "",
					"Maximum number of requests of a service that wait in this entry."},
		SettingSpec{"connect_wait", SK_DURATION, "1s", 10, 60000, "",
					"Time limit for establishing a connection to an endpoint."},
		SettingSpec{"detach_patience", SK_DURATION, "30s", 10, ONE_DAY, "",
					"How long an endpoint may continue a request after the caller has disconnected or was answered "
					"that the deadline has passed."},
		SettingSpec{"settle", SK_DURATION, "4s", 100, ONE_DAY, "",
					"How long an entry with an old view may own keys after a change in the entries of a zone; must "
					"exceed the sum of the keepers' `lease` and `fresh`."},
		SettingSpec{"clock_skew", SK_DURATION, "2s", 0, ONE_DAY, "",
					"Largest difference between the clocks of callers, entries and the log."},
		SettingSpec{"key_window", SK_DURATION, "10min", 1000, ONE_DAY, "",
					"Largest age at which an idempotency key is accepted."},
		SettingSpec{"stop_wait", SK_DURATION, "60s", 0, ONE_DAY, "",
					"How long a planned stop waits for requests in progress."},
		SettingSpec{"leave_wait", SK_DURATION, "1s", 0, 60000, "",
					"How long a planned stop still accepts requests once the health check reports it, so that the load "
					"balancer notices."},
};

constexpr std::array _keeper = {
		SettingSpec{"name", SK_NAME, nullptr, 0, 0, "", "Name of this process, unique in the deployment."},
		SettingSpec{"region", SK_NAME, "main", 0, 0, "", "Region of this process."},
		SettingSpec{"zone", SK_NAME, nullptr, 0, 0, "", "Availability zone of this process."},
		SettingSpec{"frames", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which entries, keepers and operators connect."},
		SettingSpec{"status", SK_ADDRESS, nullptr, 0, 0, "", "Address on which operators read the state dump."},
		SettingSpec{"platform", SK_ADDRESS, nullptr, 0, 0, "",
					"Address of the platform's log, list of boxes and control of boxes."},
		SettingSpec{"peers", SK_ADDRESSES, "", 0, 0, "",
					"Addresses of the other keepers, those of this availability zone first."},
		SettingSpec{"policy", SK_CHOICE, "greenhouse", 0, 0, "greenhouse|lindeboom",
					"Weights of the planner: `greenhouse` for the fewest moves, `lindeboom` for the smallest buffer "
					"and the fastest roll-out."},
		SettingSpec{"cycle", SK_DURATION, "21d", 1000, 365 * ONE_DAY, "",
					"Interval within which each box is maintained once."},
		SettingSpec{"lead", SK_DURATION, "21d", 1000, 365 * ONE_DAY, "",
					"How long before its deadline the maintenance of a box may begin."},
		SettingSpec{"lease", SK_DURATION, "2s", 100, 60000, "", "Duration of an entry's lease on its view."},
		SettingSpec{"fresh", SK_DURATION, "1500ms", 50, 60000, "",
					"Leases are granted only if the log has answered within this time."},
		SettingSpec{"lapse", SK_DURATION, "6s", 200, 600000, "",
					"Time without contact after which the removal of an entry or keeper of the zone is proposed; must "
					"exceed `lease`."},
		SettingSpec{"plan_tick", SK_DURATION, "500ms", 20, 60000, "", "Interval between planning steps."},
		SettingSpec{"list_tick", SK_DURATION, "1s", 20, 60000, "",
					"Interval between fetches of the platform's list of boxes."},
		SettingSpec{"planner_silence", SK_DURATION, "6s", 200, 600000, "",
					"Time without a record of the planner after which another keeper may replace it."},
		SettingSpec{"snapshot_records", SK_NUMBER, "2000", 10, 1000000, "",
					"Number of records after which a snapshot is written."},
		SettingSpec{
				"snapshot_age", SK_DURATION, "6h", 1000, 30 * ONE_DAY, "",
				"Age of the newest snapshot at which another is written; at most a quarter of the log's retention."},
};

constexpr std::array _platform = {
		SettingSpec{"listen", SK_ADDRESS, nullptr, 0, 0, "", "Address on which the stand-in listens."},
		SettingSpec{"boxes", SK_RECORDS, nullptr, 0, 0, "name|zone|rack|address|slots?", "Boxes in the list."},
		SettingSpec{"appends_per_second", SK_NUMBER, "100", 1, 100000, "", "Maximum number of appends per second."},
		SettingSpec{"retention", SK_DURATION, "7d", 100, 365 * ONE_DAY, "", "Age at which records are removed."},
		SettingSpec{"records", SK_NUMBER, "1000000", 10, 100000000, "", "Maximum number of records kept."},
		SettingSpec{"reboot_time", SK_DURATION, "2s", 0, ONE_DAY, "", "Duration of a reboot of a box."},
		SettingSpec{"job_time", SK_DURATION, "1s", 0, ONE_DAY, "", "Run time of a job."},
};

constexpr std::array _endpoint = {
		SettingSpec{"listen", SK_ADDRESS, nullptr, 0, 0, "", "Address on which the stand-in listens."},
		SettingSpec{"name", SK_NAME, nullptr, 0, 0, "", "Name of the box; part of each answer."},
		SettingSpec{"slots", SK_NUMBER, "8", 1, 10000, "",
					"Number of requests processed at the same time; further ones are refused as not run."},
		SettingSpec{"work", SK_DURATION, "5ms", 0, ONE_DAY, "", "Processing time of a request."},
};

constexpr std::array _node = {
		SettingSpec{"name", SK_NAME, nullptr, 0, 0, "", "Name of this process, unique in the deployment."},
		SettingSpec{"zone", SK_NAME, nullptr, 0, 0, "", "Availability zone of this process."},
		SettingSpec{"callers", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which callers connect, through the load balancer."},
		SettingSpec{"ready", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which the load balancer checks whether this node accepts callers."},
		SettingSpec{"frames", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which other nodes connect; must be reachable only for them."},
		SettingSpec{"metrics", SK_ADDRESS, nullptr, 0, 0, "",
					"Address on which counters and histograms are served as text."},
		SettingSpec{"store", SK_ADDRESS, nullptr, 0, 0, "", "Address of the platform's keyed log."},
		SettingSpec{"machines", SK_ADDRESS, nullptr, 0, 0, "", "Address of the platform's control of machines."},
		SettingSpec{"seeds", SK_ADDRESSES, "", 0, 0, "",
					"Hosts of some other nodes, which are asked for the configuration while the store doesn't answer; "
					"some may no longer exist."},
		SettingSpec{
				"advisor", SK_ADDRESSES, "", 0, 0, "",
				"Service that tells which boxes a route's placement policy allows; empty if no route has a policy."},
		SettingSpec{
				"turn_gap", SK_DURATION, "3300ms", 0, ONE_DAY, "",
				"Minimum time between the last order to machines of one fleet owner and the first order of the next."},
		SettingSpec{
				"spread_percent", SK_NUMBER, "0", 0, 100, "",
				"Percentage of the idle boxes of services whose demand peak is over that begin to move to the services "
				"expected to peak next, at each decision of the fleet owner; 0 moves boxes only when they are needed."},
		SettingSpec{"cpu", SK_DECIMAL, "1", 1, 1024000, "",
					"Number of cores that this process may use; nodes with at least twice as many take shards first."},
		SettingSpec{"memory_mb", SK_NUMBER, "160", 64, 1024 * 1024, "",
					"Memory in MB that this process may use; limits for callers follow from it."},
		SettingSpec{"descriptors", SK_NUMBER, "4096", 256, 1024 * 1024, "",
					"Descriptors that this process may use; limits for callers follow from it."},
		SettingSpec{"partitions", SK_NUMBER, "12", 1, 10000, "", "Number of partitions of a topic of the store."},
		SettingSpec{"store_record_bytes", SK_NUMBER, "262144", 4096, MAX_SIZE_BYTES, "",
					"Largest record that the store accepts, in bytes."},
		SettingSpec{"store_call_bytes", SK_NUMBER, "2097152", 16384, MAX_SIZE_BYTES, "",
					"Largest sum of the records of one append that the store accepts, in bytes."},
		SettingSpec{"group_silence", SK_DURATION, "1500ms", 1000, ONE_DAY, "",
					"Time without a join call after which the store removes a node from the group and its shards are "
					"reassigned."},
		SettingSpec{"config_in_force", SK_DURATION, "3s", 500, ONE_DAY, "",
					"Time from the publication of a configuration within which it must be in force on all nodes."},
		SettingSpec{"lease", SK_DURATION, "4500ms", 500, ONE_DAY, "",
					"Lease of the runs on a box: a longer one bridges a longer change of owner, but delays restarts of "
					"runs from an unreachable box."},
		SettingSpec{"lease_max", SK_DURATION, "6s", 500, ONE_DAY, "", "Longest lease that boxes grant."},
		SettingSpec{"lines_per_second", SK_NUMBER, "40", 1, 100000, "",
					"Maximum number of log lines of one kind per second."},
		SettingSpec{"leave_wait", SK_DURATION, "2200ms", 0, ONE_DAY, "",
					"How long a stop still accepts requests, so that the load balancer notices."},
		SettingSpec{"stop_wait", SK_DURATION, "2500ms", 0, ONE_DAY, "",
					"How long a stop then waits for requests in progress."},
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
