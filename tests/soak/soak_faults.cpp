/** @file soak_faults.cpp Faults that the soak test injects. */
#include "soak_world.h"

#include <array>

namespace {

constexpr int LOSE_PERCENT = 30;          ///< Percentage of appends or orders whose answers are lost.
constexpr Millis SLOW_STORE_LATENCY(300); ///< Added latency of a slow store.

} // namespace

std::function<void()> SoakWorld::InjectStoreFault(const std::function<void()> &begin, const std::function<void()> &end)
{
	begin();
	this->active_store_faults++;
	for (const auto &it : this->nodes) {
		it->MarkFaulted();
	}
	return [this, end] {
		end();
		this->active_store_faults--;
	};
}

PartitionId SoakWorld::RandomPartition()
{
	/* A partition to which the owner of a queue or of the fleet appends its records: partition 0, or 1 as its spare. */
	const std::array topics = {"keyed.jobs.calc", "keyed.jobs.grid", "keyed.fleet"};
	const char *topic = topics[this->RandomBelow(topics.size())];
	return PartitionId{topic, this->RandomBelow(2)};
}

void SoakWorld::DefineFaults()
{
	const auto nothing = [] { return std::function<void()>(); };
	SoakStoreFaults &bad = this->store.faults;
	this->fault_kinds = {
			{"kill",
			 [this, nothing] {
				 this->RandomNode().Kill(this->RandomMillis(100, 2500));
				 return nothing();
			 }},
			{"kill_all",
			 [this, nothing] {
				 const Millis pause = this->RandomMillis(100, 2500);
				 for (const auto &it : this->nodes) {
					 it->Kill(pause);
				 }
				 return nothing();
			 }},
			{"freeze",
			 [this, nothing] {
				 const Millis span = this->RandomMillis(300, 5000);
				 this->RandomNode().Freeze(span);
				 this->evacuations.NoteOutage(this->scheduler.Now() + span);
				 return nothing();
			 }},
			{"planned_stop",
			 [this, nothing] {
				 this->RandomNode().Stop();
				 return nothing();
			 }},
			{"reload",
			 [this, nothing] {
				 this->RandomNode().Reload();
				 return nothing();
			 }},
			{"store_way",
			 [this] {
				 SoakNode &node = this->RandomNode();
				 const std::array all = {ProxyFault::PF_DELAY, ProxyFault::PF_SILENT, ProxyFault::PF_ONE_WAY,
										 ProxyFault::PF_RESET};
				 node.MarkFaulted();
				 node.proxy.Set(all[this->RandomBelow(all.size())]);
				 return std::function<void()>([&node] { node.proxy.Set(ProxyFault::PF_NONE); });
			 }},
			{"box_way",
			 [this] {
				 SoakProxy &proxy =
						 *this->fleet.proxies[this->RandomBelow(static_cast<uint32_t>(this->fleet.proxies.size()))];
				 const std::array all = {ProxyFault::PF_DELAY, ProxyFault::PF_SILENT, ProxyFault::PF_ONE_WAY,
										 ProxyFault::PF_RESET};
				 proxy.Set(all[this->RandomBelow(all.size())]);
				 return std::function<void()>([&proxy] { proxy.Set(ProxyFault::PF_NONE); });
			 }},
			{"box_orders",
			 [this] {
				 const std::vector<BoxReport> all = this->boxes.site.Reports();
				 const BoxName box = all[this->RandomBelow(static_cast<uint32_t>(all.size()))].box;
				 this->boxes.faults[box] = SoakBoxFaults{LOSE_PERCENT, this->RandomBelow(2) == 0};
				 return std::function<void()>([this, box] { this->boxes.faults.erase(box); });
			 }},
			{"box_restart",
			 [this, nothing] {
				 const std::vector<BoxReport> all = this->boxes.site.Reports();
				 this->boxes.site.Restart(all[this->RandomBelow(static_cast<uint32_t>(all.size()))].box);
				 return nothing();
			 }},
			{"open_silent",
			 [this, nothing] {
				 /* Silences the connections of all nodes (0) or of one node (1) to the store, or all connections to one
				  * box (2). */
				 const uint32_t what = this->RandomBelow(3);
				 if (what == 2) {
					 this->fleet.proxies[this->RandomBelow(static_cast<uint32_t>(this->fleet.proxies.size()))]
							 ->SilenceOpenConnections();
					 return nothing();
				 }
				 SoakNode &one = this->RandomNode();
				 for (const auto &it : this->nodes) {
					 if (what == 0 || it.get() == &one) {
						 it->MarkFaulted();
						 it->proxy.SilenceOpenConnections();
					 }
				 }
				 return nothing();
			 },
			 true},
			{"store_partition",
			 [this, &bad] {
				 const PartitionId one = this->RandomPartition();
				 return this->InjectStoreFault([&bad, one] { bad.silent_partitions.insert(one); },
											   [&bad, one] { bad.silent_partitions.erase(one); });
			 }},
			{"store_refuses",
			 [this, &bad] {
				 return this->InjectStoreFault([&bad] { bad.unavailable = true; }, [&bad] { bad.unavailable = false; });
			 },
			 true},
			{"store_loses",
			 [this, &bad] {
				 const bool late = this->RandomBelow(2) == 0;
				 return this->InjectStoreFault(
						 [&bad, late] {
							 bad.lose_percent = LOSE_PERCENT;
							 bad.late = late;
						 },
						 [&bad] { bad.lose_percent = 0; });
			 }},
			{"store_slow",
			 [this, &bad] {
				 return this->InjectStoreFault([&bad] { bad.added_latency = SLOW_STORE_LATENCY; },
											   [&bad] { bad.added_latency = Millis(0); });
			 }},
			{"store_forgets",
			 [this, nothing] {
				 this->store.store.Compact();
				 return nothing();
			 }},
			{"store_redeals",
			 [this, nothing] {
				 this->store.store.ReassignPartitions();
				 return nothing();
			 }},
			{"config",
			 [this, nothing] {
				 this->PublishConfig(true);
				 return nothing();
			 }},
			{"wave",
			 [this, nothing] {
				 const std::vector<BoxReport> all = this->boxes.site.Reports();
				 const std::string number = std::to_string(++this->wave);
				 const std::string box = all[this->RandomBelow(static_cast<uint32_t>(all.size()))].box.Value();
				 this->store.store.Append(
						 PartitionId{"keyed.op", 0},
						 {KeyedRecord{"wave/" + number, R"({"wave":)" + number + R"(,"machines":[")" + box +
																R"("],"duration-s":10,"maximum":1})"}},
						 AppendCondition{});
				 return nothing();
			 }},
	};
}
