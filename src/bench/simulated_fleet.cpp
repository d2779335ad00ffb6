/** @file simulated_fleet.cpp A simulated fleet with random failures, restarts and table changes. */
#include "simulated_fleet.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace {

constexpr Millis REBOOT_MEAN(12 * 60 * MS_PER_SECOND);        ///< Mean time of a reboot that the planner ordered.
constexpr Millis FAILURE_OUTAGE_MEAN(6 * MS_PER_HOUR);        ///< Mean outage of a failed box.
constexpr Millis RESTART_OUTAGE_MEAN(8 * 60 * MS_PER_SECOND); ///< Mean outage of a box that restarts on its own.
constexpr Millis RACK_OUTAGE_MEAN(3 * MS_PER_HOUR);           ///< Mean outage of a rack.
constexpr Millis ZONE_OUTAGE_MEAN(1 * MS_PER_HOUR);           ///< Mean outage of a zone.
constexpr Millis REPAIR_TIME(12 * MS_PER_HOUR);      ///< Time to repair a box that failed its checks after a reboot.
constexpr Millis REBOOT_MIN(6 * 60 * MS_PER_SECOND); ///< Shortest time of a reboot.
constexpr uint64_t FAILED_CHECKS_ONE_IN = 400;       ///< One reboot in so many is followed by failed checks.
constexpr uint32_t PERCENT = 100;                    ///< Divisor of percentages.

/* Floors of services in percent of their mean, assigned in turn, so that services differ. */
constexpr uint32_t _floor_percents[] = {140, 110, 100, 90, 60};

} // namespace

std::string PoolNameOf(uint32_t n)
{
	return "pool-" + std::string(n < 10 ? "0" : "") + std::to_string(n);
}

std::string ServiceNameOf(uint32_t n)
{
	return "service-" + std::string(n < 10 ? "0" : "") + std::to_string(n);
}

FleetPreset PresetByName(const std::string &name)
{
	FleetPreset preset;
	preset.name = name;
	if (name == "lindeboom") {
		preset.lindeboom_policy = true;
	}
	if (name == "letter1") {
		preset.zones = 10;
		preset.racks_per_zone = 30;
		preset.boxes = 1200;
		preset.pools = 43;
		preset.teams = 610;
		preset.floors_percent = 66;
		preset.failures_per_day = 14;
		preset.restarts_per_day = 110;
		preset.table_changes_per_day = 1700;
		preset.jobs_per_day = 6000;
	}
	return preset;
}

uint64_t RandomSource::UniformBelow(uint64_t below)
{
	return boost::random::uniform_int_distribution<uint64_t>(0, below - 1)(this->random);
}

bool RandomSource::EventOccurs(double per_day, Millis step)
{
	const double chance = per_day * static_cast<double>(step.Value()) / static_cast<double>(MS_PER_DAY);
	return boost::random::uniform_real_distribution<double>(0, 1)(this->random) < chance;
}

Millis RandomSource::ExponentialSpan(Millis mean)
{
	boost::random::exponential_distribution<double> spread(1.0 / static_cast<double>(mean.Value()));
	return Millis(static_cast<int64_t>(spread(this->random)));
}

SimulatedFleet::SimulatedFleet(const FleetPreset &preset, uint64_t seed) : rng(seed), preset(preset)
{
	const uint32_t racks = preset.zones * preset.racks_per_zone;
	for (uint32_t i = 0; i < preset.boxes; i++) {
		const uint32_t rack = i * racks / preset.boxes;
		SimulatedBox box;
		const std::string number = std::to_string(10000 + i).substr(1);
		box.listed.name = BoxName("box-" + number);
		box.listed.zone = ZoneName("zone-" + std::to_string(rack / preset.racks_per_zone));
		box.listed.rack = RackName("rack-" + std::to_string(rack % preset.racks_per_zone));
		box.listed.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":80";
		box.listed.slots = Slots(preset.slots);
		box.listed.health = BoxHealth::BH_UP;
		this->boxes.push_back(box);
	}
	const uint32_t mean_floor = preset.boxes * preset.slots * preset.floors_percent / PERCENT / preset.pools;
	for (uint32_t i = 0; i < preset.pools; i++) {
		this->initial_floors.push_back(mean_floor * _floor_percents[i % std::size(_floor_percents)] / PERCENT);
	}
}

std::vector<size_t> SimulatedFleet::BoxesIn(const ZoneName &zone, const RackName *rack) const
{
	std::vector<size_t> indices;
	for (size_t i = 0; i < this->boxes.size(); i++) {
		const ListedBox &it = this->boxes[i].listed;
		if (it.zone == zone && (rack == nullptr || it.rack == *rack)) {
			indices.push_back(i);
		}
	}
	return indices;
}

void SimulatedFleet::TakeDown(Millis until, const std::vector<size_t> &indices)
{
	for (const size_t i : indices) {
		this->boxes[i].listed.health = BoxHealth::BH_DOWN;
		this->boxes[i].down_until = std::max(this->boxes[i].down_until, until);
	}
}

void SimulatedFleet::Step(Millis now, Millis step)
{
	for (SimulatedBox &box : this->boxes) {
		if (box.listed.health == BoxHealth::BH_DOWN && box.down_until <= now) {
			box.listed.health = BoxHealth::BH_UP;
			if (box.reboot_permit != PermitId()) {
				box.listed.booted_for = box.reboot_permit;
				box.listed.checks_pass = this->rng.UniformBelow(FAILED_CHECKS_ONE_IN) != 0;
				box.repaired_at = now + REPAIR_TIME;
				box.reboot_permit = PermitId();
			}
		}
	}
	for (SimulatedBox &box : this->boxes) {
		box.listed.checks_pass = box.listed.checks_pass || box.repaired_at <= now;
	}
	const auto any_box = [&] { return this->rng.UniformBelow(this->boxes.size()); };
	if (this->rng.EventOccurs(this->preset.failures_per_day, step)) {
		this->TakeDown(now + this->rng.ExponentialSpan(FAILURE_OUTAGE_MEAN), {any_box()});
	}
	if (this->rng.EventOccurs(this->preset.restarts_per_day, step)) {
		this->TakeDown(now + this->rng.ExponentialSpan(RESTART_OUTAGE_MEAN), {any_box()});
	}
	if (this->rng.EventOccurs(this->preset.rack_losses_per_day, step)) {
		const ListedBox &it = this->boxes[any_box()].listed;
		this->TakeDown(now + this->rng.ExponentialSpan(RACK_OUTAGE_MEAN), this->BoxesIn(it.zone, &it.rack));
	}
	if (this->rng.EventOccurs(this->preset.zone_losses_per_day, step)) {
		this->TakeDown(now + this->rng.ExponentialSpan(ZONE_OUTAGE_MEAN),
					   this->BoxesIn(this->boxes[any_box()].listed.zone, nullptr));
	}
}

void SimulatedFleet::Reboot(const BoxName &name, PermitId permit, Millis now)
{
	const auto it = std::ranges::find_if(this->boxes, [&](const SimulatedBox &box) { return box.listed.name == name; });
	if (it == this->boxes.end() || it->listed.booted_for == permit || it->reboot_permit == permit) {
		return;
	}
	it->reboot_permit = permit;
	it->listed.health = BoxHealth::BH_DOWN;
	it->down_until = std::max(it->down_until, now + REBOOT_MIN + this->rng.ExponentialSpan(REBOOT_MEAN - REBOOT_MIN));
}

std::vector<ListedBox> SimulatedFleet::List() const
{
	std::vector<ListedBox> list;
	std::ranges::transform(this->boxes, std::back_inserter(list), &SimulatedBox::listed);
	return list;
}

TableEdit SimulatedFleet::InitialTable() const
{
	static constexpr const char *_guards[] = {"none", "box", "rack", "zone"};
	TableEdit edit;
	for (uint32_t i = 0; i < this->preset.pools; i++) {
		const ServiceName service(ServiceNameOf(i));
		edit.cells.push_back({CellKey{service, "pool"}, PoolNameOf(i)});
		edit.cells.push_back({CellKey{service, "floor"}, std::to_string(this->initial_floors[i])});
		edit.cells.push_back({CellKey{service, "weight"}, std::to_string(this->initial_floors[i])});
		edit.cells.push_back({CellKey{service, "guard"}, _guards[static_cast<size_t>(this->preset.guard)]});
	}
	return edit;
}

TableEdit SimulatedFleet::RandomTableEdit(const FleetState &fleet, Millis step)
{
	TableEdit edit;
	edit.base = fleet.table_version;
	double remaining_per_day = this->preset.table_changes_per_day;
	/* A draw yields at most one change, so a rate above one per step is split over several draws. */
	const double max_per_day = static_cast<double>(MS_PER_DAY) / static_cast<double>(step.Value());
	for (; remaining_per_day > 0; remaining_per_day -= max_per_day) {
		if (!this->rng.EventOccurs(std::min(remaining_per_day, max_per_day), step)) {
			continue;
		}
		const auto pool = static_cast<uint32_t>(this->rng.UniformBelow(this->preset.pools));
		const CellKey key{ServiceName(ServiceNameOf(pool)), "floor"};
		/* The new floor is 80 to 120 percent of the initial one, in steps of a tenth. */
		const uint32_t initial_floor = this->initial_floors[pool];
		const uint64_t tenths = this->rng.UniformBelow(5);
		const uint64_t floor = initial_floor * (8 + tenths) / 10;
		const auto same_cell = [&](const CellEdit &it) { return it.key == key; };
		std::erase_if(edit.cells, same_cell);
		edit.cells.push_back({key, std::to_string(floor)});
	}
	return edit;
}
