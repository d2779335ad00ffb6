/** @file pool_plan.cpp Which pool has which box: registration, choice of pools, moves. */
#include "planner_func.h"

#include <algorithm>
#include <set>

namespace {

constexpr uint64_t PERCENT = 100;   ///< Hundredths in a whole.
constexpr int64_t DONOR_WEIGHT = 4; ///< What a donor keeps, against the domains of the box, in the choice of a move.

/**
 * Slots that a pool should be able to use: its floors, or what it was seen to use when that is more.
 * @param pool The pool.
 * @param observed Observed use per pool.
 * @return Slots.
 */
uint64_t DemandOf(const PoolPicture &pool, const std::map<PoolName, uint64_t> &observed)
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
 * A pool as it will be when what is under way has ended: moves have arrived, maintenance is over, boxes that failed a
 * short while ago are back.
 * @param draft All pools.
 * @param pool One of them.
 * @param failed_after Boxes that failed after this log time count as coming back.
 * @return The copy.
 */
PoolPicture WithArrivals(const PoolDraft &draft, const PoolPicture &pool, Millis failed_after)
{
	PoolPicture later = pool;
	for (Box &box : later.boxes) {
		const bool maintained = box.purpose == PermitPurpose::PP_MAINTAIN;
		const bool failed_just_now = box.health != BoxHealth::BH_UP && box.health_since >= failed_after;
		if ((maintained || box.state == BoxState::BS_SERVING) && (maintained || failed_just_now)) {
			box.state = BoxState::BS_SERVING;
			box.health = BoxHealth::BH_UP;
		}
	}
	for (const auto &[name, other] : draft) {
		for (const Box &box : other.boxes) {
			if (box.purpose == PermitPurpose::PP_MOVE && box.move_to == pool.name) {
				later.boxes.push_back(box);
				later.boxes.back().state = BoxState::BS_SERVING;
				later.boxes.back().health = BoxHealth::BH_UP;
			}
		}
	}
	return later;
}

/**
 * How far a pool is from holding its demand and guards with boxes to spare, in slots.
 * @param pool The pool, with arrivals.
 * @param demand Slots it should be able to use.
 * @param spare_boxes Boxes that maintenance may take at once.
 * @return Slots missing when negative, slots left over when positive.
 */
int64_t MarginOf(const PoolPicture &pool, uint64_t demand, uint32_t spare_boxes)
{
	const PoolCapacity capacity = CapacityOf(pool);
	const PoolFloors floors = FloorsOf(pool);
	const uint64_t headroom = HeadroomOf(capacity, floors);
	const uint64_t spare = floors.All() == 0 ? 0 : spare_boxes * capacity.largest_box;
	return static_cast<int64_t>(capacity.up) - static_cast<int64_t>(demand + headroom + spare);
}

/** Slots of a pool that take work, in the failure domains of a box. */
struct SlotsBeside {
	uint64_t in_zone = 0; ///< In its availability zone.
	uint64_t in_rack = 0; ///< In its rack.
};

/**
 * Counts them.
 * @param pool The pool.
 * @param box The box; itself counted, if it is in the pool.
 * @return The slots.
 */
SlotsBeside CountBeside(const PoolPicture &pool, const Box &box)
{
	SlotsBeside slots;
	for (const Box &it : pool.boxes) {
		if (!TakesWork(it) || it.zone_key != box.zone_key) {
			continue;
		}
		slots.in_zone += it.slots.Value();
		slots.in_rack += it.rack_key == box.rack_key ? it.slots.Value() : 0;
	}
	return slots;
}

/** Sum of the weights of a pool's services. */
uint64_t WeightOf(const PoolPicture &pool)
{
	uint64_t weight = 0;
	for (const ServiceRow &row : pool.rows) {
		weight += row.weight;
	}
	return weight;
}

/** Failure domains of the fleet. */
struct DomainCounts {
	uint64_t zones = 0; ///< Availability zones with boxes.
	uint64_t racks = 0; ///< Racks with boxes.
	uint64_t slots = 0; ///< Slots of all boxes.
	uint64_t box = 0;   ///< Slots of the largest box.
};

/**
 * Slots that a pool needs if its boxes are spread evenly: each guard asks for its floors to survive one domain of n,
 * so for n / (n - 1) times the floors, and maintenance for boxes to spare.
 * @param pool The pool.
 * @param demand Slots it should be able to use.
 * @param counts Failure domains.
 * @param spare_boxes Boxes that maintenance may take at once.
 * @return Slots.
 */
uint64_t NeedOf(const PoolPicture &pool, uint64_t demand, const DomainCounts &counts, uint32_t spare_boxes)
{
	const PoolFloors floors = FloorsOf(pool);
	const auto survive = [](uint64_t slots, uint64_t domains) {
		return domains < 2 ? 2 * slots : (slots * domains + domains - 2) / (domains - 1);
	};
	uint64_t need = demand;
	need = std::max(need, floors.at_least[static_cast<int>(Guard::GD_BOX)] + counts.box);
	need = std::max(need, survive(floors.at_least[static_cast<int>(Guard::GD_RACK)], counts.racks));
	need = std::max(need, survive(floors.at_least[static_cast<int>(Guard::GD_ZONE)], counts.zones));
	return demand == 0 ? 0 : need + spare_boxes * counts.box;
}

/**
 * Splits all slots among the pools: what each needs first, the rest by weight.
 * @param draft All pools.
 * @param counts Failure domains.
 * @param policy Weights.
 * @param observed Observed use.
 * @return Target per pool, in slots, at least 1 for a pool that rows name.
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
 * Counts the failure domains of a draft.
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
			counts.box = std::max<uint64_t>(counts.box, box.slots.Value());
		}
	}
	counts.zones = zones.size();
	counts.racks = racks.size();
	return counts;
}

/** How full a pool would be with a new box, in the whole and in the box's zone; the smallest gets it. */
struct Fullness {
	uint64_t millionths = 0; ///< Slots against the target, plus the same for the zone alone.
	uint64_t in_rack = 0;    ///< Its slots in the rack of the box.
	PoolName name;           ///< To make the choice unique.

	auto operator<=>(const Fullness &) const = default;
};

/**
 * Rates a pool for a new box.
 * @param pool The pool.
 * @param box The box.
 * @param target Its target, in slots.
 * @param zones Availability zones.
 * @return The rating.
 */
Fullness Rate(const PoolPicture &pool, const Box &box, uint64_t target, uint64_t zones)
{
	constexpr uint64_t MILLION = 1000000;
	uint64_t all = 0;
	for (const Box &it : pool.boxes) {
		all += it.slots.Value();
	}
	/* Half a box more, so that rounding favours no pool. */
	const uint64_t half = box.slots.Value() / 2;
	const SlotsBeside beside = CountBeside(pool, box);
	Fullness rate;
	rate.millionths = ((all + half) + (beside.in_zone + half) * zones) * MILLION / target;
	rate.in_rack = beside.in_rack;
	rate.name = pool.name;
	return rate;
}

/**
 * The box as it will be recorded.
 * @param box The listed box.
 * @param pool Its pool.
 * @return The box.
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

/** Chooses pools for new boxes, one after the other. */
class PoolChooser {
public:
	/**
	 * @param draft The pools as they are.
	 * @param list All boxes that will be there.
	 */
	PoolChooser(PoolDraft draft, const std::vector<ListedBox> &list) : draft(std::move(draft))
	{
		PoolDraft whole = this->draft;
		std::set<BoxName> known;
		for (const auto &[name, pool] : this->draft) {
			for (const Box &box : pool.boxes) {
				known.insert(box.name);
			}
		}
		for (const ListedBox &it : list) {
			if (!known.contains(it.name)) {
				whole[PoolName()].boxes.push_back(NewBox(it, PoolName()));
			}
		}
		this->counts = CountDomains(whole);
		this->targets = TargetsOf(this->draft, this->counts, PlannerPolicy(), {});
	}

	/**
	 * Chooses the pool of a box, and counts the box in it.
	 * @param box The box.
	 * @return The pool; empty when no row names any.
	 */
	PoolName Choose(const ListedBox &box)
	{
		if (this->targets.empty()) {
			return {};
		}
		const Box added = NewBox(box, PoolName());
		const auto rate = [&](const auto &it) {
			return Rate(this->draft.at(it.first), added, it.second, this->counts.zones);
		};
		PoolName chosen = std::ranges::min_element(this->targets, {}, rate)->first;
		this->draft[chosen].boxes.push_back(NewBox(box, chosen));
		return chosen;
	}

private:
	PoolDraft draft;                      ///< The pools, with boxes chosen so far.
	DomainCounts counts;                  ///< Failure domains.
	std::map<PoolName, uint64_t> targets; ///< Target per pool, in slots.
};

/** A box that could move. */
struct MoveChoice {
	PoolPicture *from = nullptr; ///< Donor.
	Box *box = nullptr;          ///< The box.
	int64_t score = 0;           ///< Larger is better.
};

/**
 * How good it is to take a box from a donor for a pool: crowded domains of the donor, empty ones of the receiver.
 * @param donor Donor.
 * @param receiver Receiver.
 * @param box The box.
 * @return The score.
 */
int64_t MoveScore(const PoolPicture &donor, const PoolPicture &receiver, const Box &box)
{
	const auto crowd = [&](const PoolPicture &pool) {
		const SlotsBeside slots = CountBeside(pool, box);
		return static_cast<int64_t>(2 * slots.in_zone + slots.in_rack);
	};
	return crowd(donor) - crowd(receiver);
}

/** What the choice of moves rests on. */
struct MoveContext {
	PoolDraft &draft;                             ///< All pools.
	const PlannerPolicy &policy;                  ///< Weights.
	const std::map<PoolName, uint64_t> &observed; ///< Observed use.
	Millis now;                                   ///< Log time.

	/** @return A pool as it will be when what is under way has ended. */
	[[nodiscard]] PoolPicture Later(const PoolPicture &pool) const
	{
		return WithArrivals(this->draft, pool, this->now - this->policy.failure_grace);
	}

	/** @return What a pool has over its demand and guards, in slots. */
	[[nodiscard]] int64_t Margin(const PoolPicture &pool) const
	{
		return MarginOf(pool, DemandOf(pool, this->observed), 0);
	}
};

/** A pool that has something left over. */
struct Donor {
	PoolPicture *pool = nullptr; ///< The pool.
	PoolPicture later;           ///< As it will be when what is under way has ended.
};

/**
 * @param context Pools and weights.
 * @return Pools with something left over.
 */
std::vector<Donor> DonorsOf(const MoveContext &context)
{
	std::vector<Donor> donors;
	for (auto &[name, pool] : context.draft) {
		PoolPicture later = context.Later(pool);
		if (context.Margin(later) > 0) {
			donors.push_back(Donor{&pool, std::move(later)});
		}
	}
	return donors;
}

/**
 * Finds the best box to move into a pool: from the donor with most left over, out of its fullest domain.
 * @param context Pools and weights.
 * @param donors Pools with something left over.
 * @param receiver The pool that is short.
 * @return The choice; `box` is null when nobody can give.
 */
MoveChoice FindMove(const MoveContext &context, std::vector<Donor> &donors, const PoolPicture &receiver)
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
			const auto in_later = std::ranges::find(donor.later.boxes, box.name, &Box::name);
			in_later->state = BoxState::BS_DRAINING;
			const int64_t left = context.Margin(donor.later);
			in_later->state = BoxState::BS_SERVING;
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
 * Whether a pool needs a box: its floors are broken, its guards will stay broken, or a deadline nears and it can't
 * spare a box for maintenance.
 * @param context Pools and weights.
 * @param pool The pool.
 * @return Whether it is worth a move.
 */
bool NeedsBox(const MoveContext &context, const PoolPicture &pool)
{
	const PoolPicture later = context.Later(pool);
	if (context.Margin(later) < 0) {
		return true;
	}
	const bool broken = !FloorsHold(CapacityOf(pool), FloorsOf(pool), false);
	const bool nothing_comes = later.boxes.size() == pool.boxes.size();
	if (broken && nothing_comes) {
		return true;
	}
	const Millis soon = context.now + context.policy.blocked_lead;
	const auto waits = [&](const Box &box) {
		const Millis last = std::max(box.last_maintained, box.registered);
		return box.purpose == PermitPurpose::PP_NONE && last + context.policy.cycle < soon;
	};
	const bool deadline_nears = std::ranges::any_of(later.boxes, waits);
	const uint64_t box_slots = CapacityOf(later).largest_box;
	return deadline_nears && context.Margin(later) < static_cast<int64_t>(box_slots);
}

/**
 * Finds the pool that is furthest below its target, relative to it.
 * @param context Pools and weights.
 * @param targets Targets.
 * @return The pool and how far it is below, in hundredths of its target; null when none is.
 */
std::pair<PoolPicture *, uint64_t> FurthestBelow(const MoveContext &context,
												 const std::map<PoolName, uint64_t> &targets)
{
	std::pair<PoolPicture *, uint64_t> furthest = {nullptr, 0};
	for (const auto &[name, target] : targets) {
		const PoolPicture later = context.Later(context.draft.at(name));
		uint64_t slots = 0;
		for (const Box &box : later.boxes) {
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
		while (!pool.rows.empty() && !donors.empty() && moving < policy.moves_at_once && NeedsBox(context, pool)) {
			const MoveChoice choice = FindMove(context, donors, pool);
			if (choice.box == nullptr) {
				break;
			}
			proposals.push_back(GrantPermit(*choice.box, PermitPurpose::PP_MOVE, name));
			donors = DonorsOf(context);
			moving++;
		}
	}
	/* What is left over, by weight, only if the gap is worth a move and nothing else moves. */
	if (moving == 0 && policy.move_gain_percent < PERCENT) {
		const auto targets = TargetsOf(draft, CountDomains(draft), policy, observed);
		const auto [poorest, below] = FurthestBelow(context, targets);
		if (poorest != nullptr && below > policy.move_gain_percent) {
			if (const MoveChoice choice = FindMove(context, donors, *poorest); choice.box != nullptr) {
				proposals.push_back(GrantPermit(*choice.box, PermitPurpose::PP_MOVE, poorest->name));
			}
		}
	}
	return proposals;
}

std::vector<Proposal> PlanList(const FleetState &fleet, const std::vector<ListedBox> &list)
{
	std::vector<Proposal> proposals;
	PoolChooser chooser(PicturesOf(fleet), list);
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
	/* A box that the list has dropped is not known to be up. */
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
