/** @file fleet_world.cpp A generated fleet and its script of events. */
#include "fleet_world.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace {

constexpr Millis REBOOT_MEAN(12 * 60 * MS_PER_SECOND); ///< Time that a reboot takes, on average.
constexpr Millis FAILURE_MEAN(6 * MS_PER_HOUR);        ///< Time that a failed box is away.
constexpr Millis RESTART_MEAN(8 * 60 * MS_PER_SECOND); ///< Time that a restarted box is away.
constexpr Millis RACK_MEAN(3 * MS_PER_HOUR);           ///< Time that a lost rack is away.
constexpr Millis ZONE_MEAN(1 * MS_PER_HOUR);           ///< Time that a lost zone is away.
constexpr Millis REPAIR_TIME(12 * MS_PER_HOUR);        ///< Time after which a box that failed its checks is repaired.
constexpr Millis REBOOT_LEAST(6 * 60 * MS_PER_SECOND); ///< Shortest reboot.
constexpr uint64_t FAILS_AFTER_REBOOT_ONE_IN = 400;    ///< Boxes that fail their checks after a reboot.
constexpr uint32_t HUNDRED = 100;                      ///< Hundredths in a whole.

/* Services differ: floors against the mean, in hundredths, taken in turn. */
constexpr uint32_t _floor_pattern[] = {140, 110, 100, 90, 60};

} // namespace

std::string PoolOf(uint32_t n)
{
	return "pool-" + std::string(n < 10 ? "0" : "") + std::to_string(n);
}

std::string ServiceOf(uint32_t n)
{
	return "service-" + std::string(n < 10 ? "0" : "") + std::to_string(n);
}

FleetPreset PresetOf(const std::string &name)
{
	FleetPreset preset;
	preset.name = name;
	if (name == "lindeboom") {
		preset.lindeboom = true;
	}
	if (name == "letter1") {
		preset.zones = 10;
		preset.racks_per_zone = 30;
		preset.boxes = 1200;
		preset.pools = 43;
		preset.teams = 610;
		preset.floors_percent = 66;
		preset.failures_a_day = 14;
		preset.restarts_a_day = 110;
		preset.table_changes_a_day = 1700;
		preset.jobs_a_day = 6000;
	}
	return preset;
}

uint64_t Dice::Below(uint64_t below)
{
	return boost::random::uniform_int_distribution<uint64_t>(0, below - 1)(this->random);
}

bool Dice::Happens(double per_day, Millis step)
{
	const double chance = per_day * static_cast<double>(step.Value()) / static_cast<double>(MS_PER_DAY);
	return boost::random::uniform_real_distribution<double>(0, 1)(this->random) < chance;
}

Millis Dice::Around(Millis mean)
{
	boost::random::exponential_distribution<double> spread(1.0 / static_cast<double>(mean.Value()));
	return Millis(static_cast<int64_t>(spread(this->random)));
}

FleetWorld::FleetWorld(const FleetPreset &preset, uint64_t seed) : dice(seed), preset(preset)
{
	const uint32_t racks = preset.zones * preset.racks_per_zone;
	for (uint32_t i = 0; i < preset.boxes; i++) {
		const uint32_t rack = i * racks / preset.boxes;
		RealBox box;
		const std::string number = std::to_string(10000 + i).substr(1);
		box.listed.name = BoxName("box-" + number);
		box.listed.zone = ZoneName("zone-" + std::to_string(rack / preset.racks_per_zone));
		box.listed.rack = RackName("rack-" + std::to_string(rack % preset.racks_per_zone));
		box.listed.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":80";
		box.listed.slots = Slots(preset.slots);
		box.listed.health = BoxHealth::BH_UP;
		this->boxes.push_back(box);
	}
	const uint32_t fair = preset.boxes * preset.slots * preset.floors_percent / HUNDRED / preset.pools;
	for (uint32_t i = 0; i < preset.pools; i++) {
		this->first_floors.push_back(fair * _floor_pattern[i % std::size(_floor_pattern)] / HUNDRED);
	}
}

std::vector<size_t> FleetWorld::BoxesOf(const ZoneName &zone, const RackName *rack) const
{
	std::vector<size_t> which;
	for (size_t i = 0; i < this->boxes.size(); i++) {
		const ListedBox &it = this->boxes[i].listed;
		if (it.zone == zone && (rack == nullptr || it.rack == *rack)) {
			which.push_back(i);
		}
	}
	return which;
}

void FleetWorld::Lose(Millis until, const std::vector<size_t> &which)
{
	for (const size_t i : which) {
		this->boxes[i].listed.health = BoxHealth::BH_DOWN;
		this->boxes[i].away_until = std::max(this->boxes[i].away_until, until);
	}
}

void FleetWorld::Step(Millis now, Millis step)
{
	for (RealBox &box : this->boxes) {
		if (box.listed.health == BoxHealth::BH_DOWN && box.away_until <= now) {
			box.listed.health = BoxHealth::BH_UP;
			if (box.rebooting != PermitId()) {
				box.listed.booted_for = box.rebooting;
				box.listed.checks_pass = this->dice.Below(FAILS_AFTER_REBOOT_ONE_IN) != 0;
				box.repaired_at = now + REPAIR_TIME;
				box.rebooting = PermitId();
			}
		}
	}
	for (RealBox &box : this->boxes) {
		box.listed.checks_pass = box.listed.checks_pass || box.repaired_at <= now;
	}
	const auto any_box = [&] { return this->dice.Below(this->boxes.size()); };
	if (this->dice.Happens(this->preset.failures_a_day, step)) {
		this->Lose(now + this->dice.Around(FAILURE_MEAN), {any_box()});
	}
	if (this->dice.Happens(this->preset.restarts_a_day, step)) {
		this->Lose(now + this->dice.Around(RESTART_MEAN), {any_box()});
	}
	if (this->dice.Happens(this->preset.rack_losses_a_day, step)) {
		const ListedBox &it = this->boxes[any_box()].listed;
		this->Lose(now + this->dice.Around(RACK_MEAN), this->BoxesOf(it.zone, &it.rack));
	}
	if (this->dice.Happens(this->preset.zone_losses_a_day, step)) {
		this->Lose(now + this->dice.Around(ZONE_MEAN), this->BoxesOf(this->boxes[any_box()].listed.zone, nullptr));
	}
}

void FleetWorld::Reboot(const BoxName &name, PermitId permit, Millis now)
{
	const auto it = std::ranges::find_if(this->boxes, [&](const RealBox &box) { return box.listed.name == name; });
	if (it == this->boxes.end() || it->listed.booted_for == permit || it->rebooting == permit) {
		return;
	}
	it->rebooting = permit;
	it->listed.health = BoxHealth::BH_DOWN;
	it->away_until = std::max(it->away_until, now + REBOOT_LEAST + this->dice.Around(REBOOT_MEAN - REBOOT_LEAST));
}

std::vector<ListedBox> FleetWorld::List() const
{
	std::vector<ListedBox> list;
	std::ranges::transform(this->boxes, std::back_inserter(list), &RealBox::listed);
	return list;
}

TableEdit FleetWorld::FirstTable() const
{
	static constexpr const char *_guards[] = {"none", "box", "rack", "zone"};
	TableEdit edit;
	for (uint32_t i = 0; i < this->preset.pools; i++) {
		const ServiceName service(ServiceOf(i));
		edit.cells.push_back({CellKey{service, "pool"}, PoolOf(i)});
		edit.cells.push_back({CellKey{service, "floor"}, std::to_string(this->first_floors[i])});
		edit.cells.push_back({CellKey{service, "weight"}, std::to_string(this->first_floors[i])});
		edit.cells.push_back({CellKey{service, "guard"}, _guards[static_cast<size_t>(this->preset.guard)]});
	}
	return edit;
}

TableEdit FleetWorld::NextEdit(const FleetState &fleet, Millis step)
{
	TableEdit edit;
	edit.base = fleet.table_version;
	double left = this->preset.table_changes_a_day;
	/* More than one change may come within a step: each draw covers at most one a step. */
	const double most = static_cast<double>(MS_PER_DAY) / static_cast<double>(step.Value());
	for (; left > 0; left -= most) {
		if (!this->dice.Happens(std::min(left, most), step)) {
			continue;
		}
		const auto pool = static_cast<uint32_t>(this->dice.Below(this->preset.pools));
		const CellKey key{ServiceName(ServiceOf(pool)), "floor"};
		/* Floors wander within a fifth of the first, in steps of a tenth. */
		const uint32_t first = this->first_floors[pool];
		const uint64_t tenth = this->dice.Below(5);
		const uint64_t floor = first * (8 + tenth) / 10;
		const auto same = [&](const CellEdit &it) { return it.key == key; };
		std::erase_if(edit.cells, same);
		edit.cells.push_back({key, std::to_string(floor)});
	}
	return edit;
}
