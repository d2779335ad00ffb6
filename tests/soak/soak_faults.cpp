/** @file soak_faults.cpp The faults that a soak injects. */
#include "soak_world.h"

#include <array>

namespace {

constexpr int LOSE_PERCENT = 30; ///< Of appends or orders, while answers are lost.
constexpr Millis SLOW(300);      ///< Added to each answer of a slow store.

} // namespace

std::function<void()> SoakWorld::HarmStore(const std::function<void()> &begin, const std::function<void()> &end)
{
	begin();
	this->store_harm++;
	for (const auto &it : this->nodes) {
		it->NoteHarm();
	}
	return [this, end] {
		end();
		this->store_harm--;
	};
}

PartitionId SoakWorld::AnyPartition()
{
	/* Those that owners record in: a queue's or the fleet's, main or spare. */
	const std::array topics = {"keyed.jobs.calc", "keyed.jobs.grid", "keyed.fleet"};
	const char *topic = topics[this->Pick(topics.size())];
	return PartitionId{topic, this->Pick(2)};
}

void SoakWorld::ListFaults()
{
	const auto nothing = [] { return std::function<void()>(); };
	SoakStoreFaults &bad = this->store.faults;
	this->kinds = {
			{"kill",
			 [this, nothing] {
				 this->AnyNode().Kill(this->Between(100, 2500));
				 return nothing();
			 }},
			{"kill_all",
			 [this, nothing] {
				 const Millis pause = this->Between(100, 2500);
				 for (const auto &it : this->nodes) {
					 it->Kill(pause);
				 }
				 return nothing();
			 }},
			{"freeze",
			 [this, nothing] {
				 this->AnyNode().Freeze(this->Between(300, 5000));
				 return nothing();
			 }},
			{"planned_stop",
			 [this, nothing] {
				 this->AnyNode().Stop();
				 return nothing();
			 }},
			{"reload",
			 [this, nothing] {
				 this->AnyNode().Reload();
				 return nothing();
			 }},
			{"store_way",
			 [this] {
				 SoakNode &node = this->AnyNode();
				 const std::array all = {ProxyFault::PF_DELAY, ProxyFault::PF_SILENT, ProxyFault::PF_ONE_WAY,
										 ProxyFault::PF_RESET};
				 node.NoteHarm();
				 node.way.Set(all[this->Pick(all.size())]);
				 return std::function<void()>([&node] { node.way.Set(ProxyFault::PF_NONE); });
			 }},
			{"box_way",
			 [this] {
				 SoakProxy &way = *this->box_ways[this->Pick(static_cast<uint32_t>(this->box_ways.size()))];
				 const std::array all = {ProxyFault::PF_DELAY, ProxyFault::PF_SILENT, ProxyFault::PF_ONE_WAY,
										 ProxyFault::PF_RESET};
				 way.Set(all[this->Pick(all.size())]);
				 return std::function<void()>([&way] { way.Set(ProxyFault::PF_NONE); });
			 }},
			{"box_orders",
			 [this] {
				 const std::vector<BoxReport> all = this->boxes.site.Reports();
				 const BoxName box = all[this->Pick(static_cast<uint32_t>(all.size()))].box;
				 this->boxes.faults[box] = SoakBoxFaults{LOSE_PERCENT, this->Pick(2) == 0};
				 return std::function<void()>([this, box] { this->boxes.faults.erase(box); });
			 }},
			{"box_restart",
			 [this, nothing] {
				 const std::vector<BoxReport> all = this->boxes.site.Reports();
				 this->boxes.site.Restart(all[this->Pick(static_cast<uint32_t>(all.size()))].box);
				 return nothing();
			 }},
			{"open_silent",
			 [this, nothing] {
				 /* All connections of all nodes, or one node's to the store, or those to one box. */
				 const uint32_t what = this->Pick(3);
				 if (what == 2) {
					 this->box_ways[this->Pick(static_cast<uint32_t>(this->box_ways.size()))]->SilenceOpen();
					 return nothing();
				 }
				 SoakNode &one = this->AnyNode();
				 for (const auto &it : this->nodes) {
					 if (what == 0 || it.get() == &one) {
						 it->NoteHarm();
						 it->way.SilenceOpen();
					 }
				 }
				 return nothing();
			 }},
			{"store_partition",
			 [this, &bad] {
				 const PartitionId one = this->AnyPartition();
				 return this->HarmStore([&bad, one] { bad.mute.insert(one); }, [&bad, one] { bad.mute.erase(one); });
			 }},
			{"store_refuses",
			 [this, &bad] {
				 return this->HarmStore([&bad] { bad.refusing = true; }, [&bad] { bad.refusing = false; });
			 }},
			{"store_loses",
			 [this, &bad] {
				 const bool late = this->Pick(2) == 0;
				 return this->HarmStore(
						 [&bad, late] {
							 bad.lose_percent = LOSE_PERCENT;
							 bad.late = late;
						 },
						 [&bad] { bad.lose_percent = 0; });
			 }},
			{"store_slow",
			 [this, &bad] { return this->HarmStore([&bad] { bad.slow = SLOW; }, [&bad] { bad.slow = Millis(0); }); }},
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
				 const std::string box = all[this->Pick(static_cast<uint32_t>(all.size()))].box.Value();
				 this->store.store.Append(
						 PartitionId{"keyed.op", 0},
						 {KeyedRecord{"wave/" + number, R"({"wave":)" + number + R"(,"machines":[")" + box +
																R"("],"duration-s":10,"maximum":1})"}},
						 AppendCondition{});
				 return nothing();
			 }},
	};
}
