/** @file pool_plan.cpp Assigns boxes to pools: registration of new boxes, choice of their pools, moves. */
#include "planner_func.h"

#include <algorithm>
#include <set>

namespace {

constexpr uint64_t PERCENT = 100;   ///< Percent in a whole.
constexpr int64_t DONOR_WEIGHT = 4; ///< Weight of the donor's remaining margin in a move's score, besides MoveScore().

/**
 * Computes the demand of a pool: its floors, or its observed use (up to its ceilings) if that is more.
 * @param pool The pool.
 * @param observed Observed use by pool, in slots.
 * @return Slots that the pool should be able to use.
 */
uint64_t DemandOf(const PoolModel &pool, const std::map<PoolName, uint64_t> &observed)
{
	const uint64_t floors = FloorsOf(pool).All();
	const auto it = observed.find(pool.name);
	uint64_t ceilings = 0;
	for (const ServiceRow &row : pool.rows) {
		ceilings += row.ceiling.Value();
	}
	return it == observed.end() ? floors : std::max(floors, std::min(it->second, ceilings));
}

/**
 * Projects a pool to the time when all that is in progress has ended: boxes under maintenance and boxes that failed
 * recently take work again, boxes that move to the pool have arrived, and boxes that move away take no work.
 * @param draft All pools.
 * @param pool One of them.
 * @param failed_after Boxes that failed at this log time or later count as coming back.
 * @return The projected copy of the pool.
 */
PoolModel ProjectPool(const PoolDraft &draft, const PoolModel &pool, Millis failed_after)
{
	PoolModel projected = pool;
	for (Box &box : projected.boxes) {
		const bool in_maintenance = box.purpose == PermitPurpose::PP_MAINTAIN;
		const bool failed_recently = box.health != BoxHealth::BH_UP && box.health_since >= failed_after;
		if ((in_maintenance || box.state == BoxState::BS_SERVING) && (in_maintenance || failed_recently)) {
			box.state = BoxState::BS_SERVING;
			box.health = BoxHealth::BH_UP;
		}
	}
	for (const auto &[name, other] : draft) {
		for (const Box &box : other.boxes) {
			if (box.purpose == PermitPurpose::PP_MOVE && box.move_to == pool.name) {
				projected.boxes.push_back(box);
				projected.boxes.back().state = BoxState::BS_SERVING;
				projected.boxes.back().health = BoxHealth::BH_UP;
			}
		}
	}
	return projected;
}

/**
 * Computes how far a pool's capacity exceeds its demand plus the headroom for its guards and the spare boxes.
 * @param pool The projected pool.
 * @param demand Slots that it should be able to use.
 * @param spare_boxes Boxes that maintenance may take at once.
 * @return Spare slots; negative when slots are missing.
 */
int64_t MarginOf(const PoolModel &pool, uint64_t demand, uint32_t spare_boxes)
{
	const PoolCapacity capacity = CapacityOf(pool);
	const PoolFloors floors = FloorsOf(pool);
	const uint64_t headroom = HeadroomOf(capacity, floors);
	const uint64_t spare = floors.All() == 0 ? 0 : spare_boxes * capacity.largest_box;
	return static_cast<int64_t>(capacity.up) - static_cast<int64_t>(demand + headroom + spare);
}

/** Slots of a pool's boxes that take work, in the failure domains of one box. */
struct DomainSlots {
	uint64_t in_zone = 0; ///< Slots in the box's availability zone.
	uint64_t in_rack = 0; ///< Slots in the box's rack, also included in `in_zone`.
};

/**
 * Counts the slots of a pool's boxes that take work in the failure domains of one box.
 * @param pool The pool.
 * @param box The box; it counts too if it is in the pool and takes work.
 * @return The slots.
 */
DomainSlots CountDomainSlots(const PoolModel &pool, const Box &box)
{
	DomainSlots slots;
	for (const Box &it : pool.boxes) {
		if (!TakesWork(it) || it.zone_key != box.zone_key) {
			continue;
		}
		slots.in_zone += it.slots.Value();
		slots.in_rack += it.rack_key == box.rack_key ? it.slots.Value() : 0;
	}
	return slots;
}

/** @return Sum of the weights of a pool's services. @param pool The pool. */
uint64_t WeightOf(const PoolModel &pool)
{
	uint64_t weight = 0;
	for (const ServiceRow &row : pool.rows) {
		weight += row.weight;
	}
	return weight;
}

/** Failure domains and slots of the whole fleet, whatever the state of its boxes. */
struct DomainCounts {
	uint64_t zones = 0;         ///< Availability zones with boxes.
	uint64_t racks = 0;         ///< Racks with boxes.
	uint64_t slots = 0;         ///< Slots of all boxes.
	uint64_t max_box_slots = 0; ///< Slots of the largest box.
};

/**
 * Computes the slots that a pool needs if its boxes are spread evenly. To survive the loss of one of n racks or zones
 * takes n / (n - 1) times the floors with that guard, and twice the floors when there is only one such domain; to
 * survive the loss of a box takes the slots of the largest box on top. Maintenance needs spare boxes on top of that.
 * @param pool The pool.
 * @param demand Slots that it should be able to use.
 * @param counts Failure domains and slots of the fleet.
 * @param spare_boxes Boxes that maintenance may take at once.
 * @return The slots needed; 0 without demand.
 */
uint64_t NeedOf(const PoolModel &pool, uint64_t demand, const DomainCounts &counts, uint32_t spare_boxes)
{
	const PoolFloors floors = FloorsOf(pool);
	const auto slots_to_survive = [](uint64_t slots, uint64_t domains) {
		return domains < 2 ? 2 * slots : (slots * domains + domains - 2) / (domains - 1);
	};
	uint64_t need = demand;
	need = std::max(need, floors.must_survive[static_cast<int>(Guard::GD_BOX)] + counts.max_box_slots);
	need = std::max(need, slots_to_survive(floors.must_survive[static_cast<int>(Guard::GD_RACK)], counts.racks));
	need = std::max(need, slots_to_survive(floors.must_survive[static_cast<int>(Guard::GD_ZONE)], counts.zones));
	return demand == 0 ? 0 : need + spare_boxes * counts.max_box_slots;
}

/**
 * Computes targets of pools: what each needs, plus a part by weight of the slots that the needs leave over. When the
 * fleet has fewer slots than the pools need, the targets exceed it.
 * @param draft All pools.
 * @param counts Failure domains and slots of the fleet.
 * @param policy Policy, of which the spare boxes are used.
 * @param observed Observed use by pool, in slots.
 * @return Target by pool, in slots, at least 1; only pools with services have one.
 */
std::map<PoolName, uint64_t> TargetsOf(const PoolDraft &draft, const DomainCounts &counts, const PlannerPolicy &policy,
									   const std::map<PoolName, uint64_t> &observed)
{
	std::map<PoolName, uint64_t> targets;
	uint64_t needs = 0;
	uint64_t weights = 0;
	for (const auto &[name, pool] : draft) {
		if (!pool.rows.empty()) {
			targets[name] = NeedOf(pool, DemandOf(pool, observed), counts, policy.spare_boxes);
			needs += targets[name];
			weights += WeightOf(pool);
		}
	}
	const uint64_t rest = counts.slots > needs ? counts.slots - needs : 0;
	for (auto &[name, target] : targets) {
		target += weights == 0 ? 0 : rest * WeightOf(draft.at(name)) / weights;
		target = std::max<uint64_t>(target, 1);
	}
	return targets;
}

/**
 * Counts the failure domains and slots of a draft.
 * @param draft All pools.
 * @return The counts.
 */
DomainCounts CountDomains(const PoolDraft &draft)
{
	DomainCounts counts;
	std::set<uint64_t> zones;
	std::set<uint64_t> racks;
	for (const auto &[name, pool] : draft) {
		for (const Box &box : pool.boxes) {
			zones.insert(box.zone_key);
			racks.insert(box.rack_key);
			counts.slots += box.slots.Value();
			counts.max_box_slots = std::max<uint64_t>(counts.max_box_slots, box.slots.Value());
		}
	}
	counts.zones = zones.size();
	counts.racks = racks.size();
	return counts;
}

/** How full a pool would be with half of a new box, as a whole and in the box's zone. The pool with the lowest value
 * gets the box. */
struct Fullness {
	uint64_t fill_millionths = 0; ///< Slots relative to the target, plus the zone's relative to its even part.
	uint64_t in_rack = 0;         ///< The pool's slots in the rack of the box.
	PoolName name;                ///< The pool; makes the order total.

	auto operator<=>(const Fullness &) const = default;
};

/**
 * Computes how full a pool would be with half of a new box.
 * @param pool The pool.
 * @param box The box.
 * @param target Target of the pool, in slots.
 * @param zones Number of availability zones of the fleet.
 * @return The fullness.
 */
Fullness FullnessOf(const PoolModel &pool, const Box &box, uint64_t target, uint64_t zones)
{
	constexpr uint64_t MILLION = 1000000;
	uint64_t all = 0;
	for (const Box &it : pool.boxes) {
		all += it.slots.Value();
	}
	/* Half of the new box, as in the Webster method of apportionment: the whole box would favour pools with large
	 * targets, and none of it pools with small ones. */
	const uint64_t half = box.slots.Value() / 2;
	const DomainSlots domain_slots = CountDomainSlots(pool, box);
	Fullness fullness;
	fullness.fill_millionths = ((all + half) + (domain_slots.in_zone + half) * zones) * MILLION / target;
	fullness.in_rack = domain_slots.in_rack;
	fullness.name = pool.name;
	return fullness;
}

/**
 * Builds the state of a newly registered box.
 * @param box The listed box.
 * @param pool Its pool; empty while none is chosen.
 * @return The box, as taking work.
 */
Box NewBox(const ListedBox &box, const PoolName &pool)
{
	Box added;
	added.name = box.name;
	added.SetDomains(box.zone, box.rack);
	added.slots = box.slots;
	added.pool = pool;
	added.health = BoxHealth::BH_UP;
	return added;
}

/** Chooses pools for new boxes, one by one. */
class PoolChooser {
public:
	/**
	 * @param draft The current pools.
	 * @param list All boxes of the platform's list, known and new.
	 */
	PoolChooser(PoolDraft draft, const std::vector<ListedBox> &list) : draft(std::move(draft))
	{
		PoolDraft with_new_boxes = this->draft;
		std::set<BoxName> known;
		for (const auto &[name, pool] : this->draft) {
			for (const Box &box : pool.boxes) {
				known.insert(box.name);
			}
		}
		for (const ListedBox &it : list) {
			if (!known.contains(it.name)) {
				with_new_boxes[PoolName()].boxes.push_back(NewBox(it, PoolName()));
			}
		}
		/* All new boxes count in the fleet's domains and slots, in a pool without a name until one is chosen. */
		this->counts = CountDomains(with_new_boxes);
		this->targets = TargetsOf(this->draft, this->counts, PlannerPolicy(), {});
	}

	/**
	 * Chooses the pool of a new box and adds the box to it.
	 * @param box The box.
	 * @return The pool; empty when there is no pool with services.
	 */
	PoolName Choose(const ListedBox &box)
	{
		if (this->targets.empty()) {
			return {};
		}
		const Box added = NewBox(box, PoolName());
		const auto fullness = [&](const auto &it) {
			return FullnessOf(this->draft.at(it.first), added, it.second, this->counts.zones);
		};
		PoolName chosen = std::ranges::min_element(this->targets, {}, fullness)->first;
		this->draft[chosen].boxes.push_back(NewBox(box, chosen));
		return chosen;
	}

private:
	PoolDraft draft;                      ///< The pools, with the boxes added so far.
	DomainCounts counts;                  ///< Failure domains and slots of the fleet, with all new boxes.
	std::map<PoolName, uint64_t> targets; ///< Target by pool, in slots.
};

/** A possible move of a box. */
struct MoveChoice {
	PoolModel *from = nullptr; ///< The donor; null when no move is possible.
	Box *box = nullptr;        ///< The box in the draft; null when no move is possible.
	int64_t score = 0;         ///< Larger is better.
};

/**
 * Scores the move of a box by its zone and rack: higher if the donor has many slots there and the receiver few.
 * @param donor Pool that the box would leave.
 * @param receiver Pool that it would join.
 * @param box The box.
 * @return The score; larger is better.
 */
int64_t MoveScore(const PoolModel &donor, const PoolModel &receiver, const Box &box)
{
	const auto concentration = [&](const PoolModel &pool) {
		const DomainSlots slots = CountDomainSlots(pool, box);
		return static_cast<int64_t>(2 * slots.in_zone + slots.in_rack);
	};
	return concentration(donor) - concentration(receiver);
}

/** Inputs for the choice of moves. */
struct MoveContext {
	PoolDraft &draft;                             ///< All pools.
	const PlannerPolicy &policy;                  ///< Policy.
	const std::map<PoolName, uint64_t> &observed; ///< Observed use by pool, in slots.
	Millis now;                                   ///< Log time.

	/** @return The projection of a pool by ProjectPool(). @param pool The pool. */
	[[nodiscard]] PoolModel Projected(const PoolModel &pool) const
	{
		return ProjectPool(this->draft, pool, this->now - this->policy.failure_grace);
	}

	/** @return Slots of a pool above its demand and headroom; negative when it is short. @param pool The pool. */
	[[nodiscard]] int64_t Margin(const PoolModel &pool) const
	{
		return MarginOf(pool, DemandOf(pool, this->observed), 0);
	}
};

/** A pool whose projection has slots above its demand and headroom. */
struct Donor {
	PoolModel *pool = nullptr; ///< The pool.
	PoolModel projected;       ///< Its projection, see ProjectPool().
};

/**
 * @param context Pools, policy and observed use.
 * @return Pools whose projections have slots above their demand and headroom.
 */
std::vector<Donor> DonorsOf(const MoveContext &context)
{
	std::vector<Donor> donors;
	for (auto &[name, pool] : context.draft) {
		PoolModel projected = context.Projected(pool);
		if (context.Margin(projected) > 0) {
			donors.push_back(Donor{&pool, std::move(projected)});
		}
	}
	return donors;
}

/**
 * Finds the best box to move to a pool, by the margin that is left to the donor and by failure domains.
 * @param context Pools, policy and observed use.
 * @param donors Pools with spare slots; unchanged when the call returns.
 * @param receiver The pool that gets the box.
 * @return The choice; `box` is null when no donor can spare a box.
 */
MoveChoice FindMove(const MoveContext &context, std::vector<Donor> &donors, const PoolModel &receiver)
{
	MoveChoice best;
	for (Donor &donor : donors) {
		if (donor.pool->name == receiver.name) {
			continue;
		}
		for (Box &box : donor.pool->boxes) {
			if (!TakesWork(box) || box.permit != PermitId() || box.purpose != PermitPurpose::PP_NONE) {
				continue;
			}
			const auto in_projected = std::ranges::find(donor.projected.boxes, box.name, &Box::name);
			in_projected->state = BoxState::BS_DRAINING;
			const int64_t left = context.Margin(donor.projected);
			in_projected->state = BoxState::BS_SERVING;
			const int64_t score = DONOR_WEIGHT * left + MoveScore(*donor.pool, receiver, box);
			const bool better = best.box == nullptr || score > best.score;
			if (left >= 0 && better && CheckBudget(*donor.pool, box, false).Ok()) {
				best = MoveChoice{donor.pool, &box, score};
			}
		}
	}
	return best;
}

/**
 * Tells whether a pool needs a box. It does if its projection is short of slots, if its floors are broken and no box is
 * moving to it, or if the maintenance deadline of a box is near and its projected margin is less than its largest box,
 * so that it may not be able to take that box down.
 * @param context Pools, policy and observed use.
 * @param pool The pool.
 * @return Whether a box should be moved to it.
 */
bool NeedsBox(const MoveContext &context, const PoolModel &pool)
{
	const PoolModel projected = context.Projected(pool);
	if (context.Margin(projected) < 0) {
		return true;
	}
	const bool broken = !FloorsHold(CapacityOf(pool), FloorsOf(pool), false);
	const bool nothing_arrives = projected.boxes.size() == pool.boxes.size();
	if (broken && nothing_arrives) {
		return true;
	}
	const Millis due_before = context.now + context.policy.blocked_lead;
	const auto is_due_soon = [&](const Box &box) {
		const Millis last = std::max(box.last_maintained, box.registered);
		return box.purpose == PermitPurpose::PP_NONE && last + context.policy.cycle < due_before;
	};
	const bool deadline_nears = std::ranges::any_of(projected.boxes, is_due_soon);
	const uint64_t box_slots = CapacityOf(projected).largest_box;
	return deadline_nears && context.Margin(projected) < static_cast<int64_t>(box_slots);
}

/**
 * Finds the pool that is furthest below its target, relative to the target.
 * @param context Pools, policy and observed use.
 * @param targets Targets by pool, in slots.
 * @return The pool and how far it is below, in percent of its target; null and 0 when no pool is.
 */
std::pair<PoolModel *, uint64_t> FurthestBelow(const MoveContext &context, const std::map<PoolName, uint64_t> &targets)
{
	std::pair<PoolModel *, uint64_t> furthest = {nullptr, 0};
	for (const auto &[name, target] : targets) {
		const PoolModel projected = context.Projected(context.draft.at(name));
		uint64_t slots = 0;
		for (const Box &box : projected.boxes) {
			slots += box.slots.Value();
		}
		const uint64_t below = slots < target ? (target - slots) * PERCENT / target : 0;
		if (below > furthest.second) {
			furthest = {&context.draft.at(name), below};
		}
	}
	return furthest;
}

} // namespace

Proposal GrantPermit(Box &box, PermitPurpose purpose, const PoolName &to)
{
	glade::wire::PermitGrantT grant;
	grant.box = box.name.Value();
	grant.epoch = box.epoch.Value();
	grant.purpose = static_cast<uint8_t>(purpose);
	grant.move_to = to.Value();
	box.state = BoxState::BS_DRAINING;
	box.purpose = purpose;
	box.move_to = to;
	return MakeProposal(std::move(grant));
}

std::vector<Proposal> PlanMoves(PoolDraft &draft, Millis now, const PlannerPolicy &policy,
								const std::map<PoolName, uint64_t> &observed)
{
	const MoveContext context{draft, policy, observed, now};
	std::vector<Proposal> proposals;
	uint32_t moving = 0;
	for (const auto &[name, pool] : draft) {
		moving += static_cast<uint32_t>(std::ranges::count(pool.boxes, PermitPurpose::PP_MOVE, &Box::purpose));
	}
	std::vector<Donor> donors = DonorsOf(context);
	for (auto &[name, pool] : draft) {
		while (!pool.rows.empty() && !donors.empty() && moving < policy.max_concurrent_moves &&
			   NeedsBox(context, pool)) {
			const MoveChoice choice = FindMove(context, donors, pool);
			if (choice.box == nullptr) {
				break;
			}
			proposals.push_back(GrantPermit(*choice.box, PermitPurpose::PP_MOVE, name));
			donors = DonorsOf(context);
			moving++;
		}
	}
	/* Rebalance by target, only if the shortfall is worth a move and no box is moving; 100 percent turns it off. */
	if (moving == 0 && policy.move_gain_percent < PERCENT) {
		const auto targets = TargetsOf(draft, CountDomains(draft), policy, observed);
		const auto [neediest, below] = FurthestBelow(context, targets);
		if (neediest != nullptr && below > policy.move_gain_percent) {
			if (const MoveChoice choice = FindMove(context, donors, *neediest); choice.box != nullptr) {
				proposals.push_back(GrantPermit(*choice.box, PermitPurpose::PP_MOVE, neediest->name));
			}
		}
	}
	return proposals;
}

std::vector<Proposal> PlanList(const FleetState &fleet, const std::vector<ListedBox> &list)
{
	std::vector<Proposal> proposals;
	PoolChooser chooser(PoolModelsOf(fleet), list);
	for (const ListedBox &it : list) {
		const auto known = fleet.boxes.find(it.name);
		const bool changed = known == fleet.boxes.end() || known->second.zone != it.zone ||
							 known->second.rack != it.rack || known->second.address != it.address ||
							 known->second.slots != it.slots;
		if (changed) {
			glade::wire::BoxRegisterT record;
			record.box = it.name.Value();
			record.zone = it.zone.Value();
			record.rack = it.rack.Value();
			record.address = it.address;
			record.slots = it.slots.Value();
			record.pool = known == fleet.boxes.end() ? chooser.Choose(it).Value() : known->second.pool.Value();
			if (!record.pool.empty()) {
				proposals.push_back(MakeProposal(std::move(record)));
			}
		} else if (known->second.health != it.health) {
			glade::wire::BoxHealthReportT record;
			record.box = it.name.Value();
			record.epoch = known->second.epoch.Value();
			record.health = static_cast<uint8_t>(it.health);
			proposals.push_back(MakeProposal(std::move(record)));
		}
	}
	/* A box that is missing from the list counts as down. */
	std::set<BoxName> listed;
	for (const ListedBox &it : list) {
		listed.insert(it.name);
	}
	for (const auto &[name, box] : fleet.boxes) {
		if (box.health != BoxHealth::BH_DOWN && !listed.contains(name)) {
			glade::wire::BoxHealthReportT record;
			record.box = name.Value();
			record.epoch = box.epoch.Value();
			record.health = static_cast<uint8_t>(BoxHealth::BH_DOWN);
			proposals.push_back(MakeProposal(std::move(record)));
		}
	}
	return proposals;
}
