/** @file pool_plan.cpp Which pool has which box: registration, choice of pools, moves. */
#include "planner_func.h"

#include <algorithm>
#include <set>

namespace {

constexpr uint64_t PERCENT = 100; ///< Hundredths in a whole.

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
 * A pool as it will be when the moves that are under way have ended: what is to leave it takes no work, what is to
 * come does.
 * @param draft All pools.
 * @param pool One of them.
 * @return The copy.
 */
PoolPicture WithArrivals(const PoolDraft &draft, const PoolPicture &pool)
{
	PoolPicture later = pool;
	for (const auto &[name, other] : draft) {
		for (const Box &box : other.boxes) {
			if (box.purpose == PermitPurpose::PP_MOVE && box.move_to == pool.name) {
				later.boxes.push_back(box);
				later.boxes.back().state = BoxState::BS_SERVING;
				later.boxes.back().health = BoxHealth::BH_UP;
			}
		}
	}
	/* Boxes under maintenance come back; counting them as gone would make each wave look like a shortage. */
	for (Box &box : later.boxes) {
		if (box.purpose == PermitPurpose::PP_MAINTAIN && box.health != BoxHealth::BH_DOWN) {
			box.state = BoxState::BS_SERVING;
			box.health = BoxHealth::BH_UP;
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

/**
 * Slots of a pool that take work in a failure domain.
 * @param pool The pool.
 * @param zone The zone.
 * @param rack The rack, or null for the whole zone.
 * @return Slots.
 */
uint64_t SlotsIn(const PoolPicture &pool, const ZoneName &zone, const RackName *rack)
{
	uint64_t slots = 0;
	for (const Box &it : pool.boxes) {
		if (TakesWork(it) && it.zone == zone && (rack == nullptr || it.rack == *rack)) {
			slots += it.slots.Value();
		}
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

/** How well a pool suits a new box; the smallest is the best. */
struct Suitability {
	int64_t margin = 0;   ///< What it has left over: negative first.
	uint64_t in_zone = 0; ///< Its slots in the zone of the box.
	uint64_t in_rack = 0; ///< Its slots in the rack of the box.
	PoolName name;        ///< To make the choice unique.

	auto operator<=>(const Suitability &) const = default;
};

/**
 * Rates a pool for a new box. Pools that miss capacity come first; then what is left over counts per weight.
 * @param pool The pool.
 * @param box The box.
 * @return The rating.
 */
Suitability Rate(const PoolPicture &pool, const ListedBox &box)
{
	Suitability rate;
	const int64_t margin = MarginOf(pool, FloorsOf(pool).All(), 1);
	const auto weight = static_cast<int64_t>(std::max<uint64_t>(WeightOf(pool), 1));
	rate.margin = margin < 0 ? margin : margin / weight;
	rate.in_zone = SlotsIn(pool, box.zone, nullptr);
	rate.in_rack = SlotsIn(pool, box.zone, &box.rack);
	rate.name = pool.name;
	return rate;
}

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
	const auto slots_in = [&](const PoolPicture &pool) {
		return static_cast<int64_t>(2 * SlotsIn(pool, box.zone, nullptr) + SlotsIn(pool, box.zone, &box.rack));
	};
	return slots_in(donor) - slots_in(receiver);
}

/**
 * Finds the best box to move into a pool.
 * @param draft All pools.
 * @param receiver The pool that is short.
 * @param policy Weights.
 * @param observed Observed use.
 * @param least_left What a donor must have left over after giving.
 * @return The choice; `box` is null when nobody can give.
 */
MoveChoice FindMove(PoolDraft &draft, const PoolPicture &receiver, const PlannerPolicy &policy,
					const std::map<PoolName, uint64_t> &observed, int64_t least_left)
{
	MoveChoice best;
	for (auto &[name, donor] : draft) {
		if (name == receiver.name) {
			continue;
		}
		const uint64_t demand = DemandOf(donor, observed);
		PoolPicture later = WithArrivals(draft, donor);
		if (MarginOf(later, demand, policy.spare_boxes) <= least_left) {
			continue;
		}
		for (Box &box : donor.boxes) {
			if (!TakesWork(box) || box.permit != PermitId()) {
				continue;
			}
			const int64_t score = MoveScore(donor, receiver, box);
			if (best.box != nullptr && score <= best.score) {
				continue;
			}
			const auto in_later = std::ranges::find(later.boxes, box.name, &Box::name);
			in_later->state = BoxState::BS_DRAINING;
			const bool can_give = MarginOf(later, demand, policy.spare_boxes) >= least_left;
			in_later->state = BoxState::BS_SERVING;
			if (can_give && CheckBudget(donor, box, false).Ok()) {
				best = MoveChoice{&donor, &box, score};
			}
		}
	}
	return best;
}

/**
 * Proposes a permit and marks the box as draining in the draft.
 * @param box The box in the draft.
 * @param purpose What the permit is for.
 * @param to Target of a move.
 * @return The proposal.
 */
Proposal Grant(Box &box, PermitPurpose purpose, const PoolName &to)
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

/** Pools that are furthest from their weight's share of what is left over. */
struct ShareSpread {
	PoolPicture *poorest = nullptr; ///< Has the least left over for its weight.
	int64_t richest_left = 0;       ///< What the richest has left over, per unit of weight.
	int64_t poorest_left = 0;       ///< What the poorest has left over, per unit of weight.
};

/**
 * Finds the pool that weights favour most.
 * @param draft All pools.
 * @param policy Weights.
 * @param observed Observed use.
 * @return The spread.
 */
ShareSpread SpreadOf(PoolDraft &draft, const PlannerPolicy &policy, const std::map<PoolName, uint64_t> &observed)
{
	ShareSpread spread;
	bool first = true;
	for (auto &[name, pool] : draft) {
		const auto weight = static_cast<int64_t>(WeightOf(pool));
		if (weight == 0) {
			continue;
		}
		const int64_t margin = MarginOf(WithArrivals(draft, pool), DemandOf(pool, observed), policy.spare_boxes);
		const int64_t left = std::max<int64_t>(margin, 0) * 1000 / weight;
		spread.richest_left = first ? left : std::max(spread.richest_left, left);
		if (first || left < spread.poorest_left) {
			spread.poorest_left = left;
			spread.poorest = &pool;
		}
		first = false;
	}
	return spread;
}

} // namespace

PoolName ChoosePool(PoolDraft &draft, const ListedBox &box)
{
	PoolPicture *chosen = nullptr;
	Suitability best;
	for (auto &[name, pool] : draft) {
		if (pool.rows.empty()) {
			continue;
		}
		Suitability rate = Rate(pool, box);
		if (chosen == nullptr || rate < best) {
			best = std::move(rate);
			chosen = &pool;
		}
	}
	if (chosen == nullptr) {
		return {};
	}
	Box added;
	added.name = box.name;
	added.zone = box.zone;
	added.rack = box.rack;
	added.slots = box.slots;
	added.pool = chosen->name;
	added.health = BoxHealth::BH_UP;
	chosen->boxes.push_back(added);
	return chosen->name;
}

std::vector<Proposal> PlanMoves(PoolDraft &draft, const PlannerPolicy &policy,
								const std::map<PoolName, uint64_t> &observed)
{
	std::vector<Proposal> proposals;
	uint32_t moving = 0;
	for (const auto &[name, pool] : draft) {
		moving += static_cast<uint32_t>(std::ranges::count(pool.boxes, PermitPurpose::PP_MOVE, &Box::purpose));
	}
	/* First pools that miss capacity for floors, guards and maintenance. Boxes of pools that no row names go first. */
	for (auto &[name, pool] : draft) {
		if (pool.rows.empty()) {
			continue;
		}
		while (moving < policy.moves_at_once &&
			   MarginOf(WithArrivals(draft, pool), DemandOf(pool, observed), policy.spare_boxes) < 0) {
			const MoveChoice choice = FindMove(draft, pool, policy, observed, 0);
			if (choice.box == nullptr) {
				break;
			}
			proposals.push_back(Grant(*choice.box, PermitPurpose::PP_MOVE, name));
			moving++;
		}
	}
	/* Then what is left over, by weight, if the gap is worth a move: more than the threshold, and more than a box. */
	if (moving == 0 && policy.move_gain_percent < PERCENT) {
		const ShareSpread spread = SpreadOf(draft, policy, observed);
		const int64_t gap = spread.richest_left - spread.poorest_left;
		if (spread.poorest != nullptr && spread.richest_left > 0 &&
			gap * static_cast<int64_t>(PERCENT) >
					spread.richest_left * static_cast<int64_t>(PERCENT - policy.move_gain_percent)) {
			const auto weight = static_cast<int64_t>(WeightOf(*spread.poorest));
			const MoveChoice choice = FindMove(draft, *spread.poorest, policy, observed, 0);
			/* The receiver must stay poorer than the donor was, or the box would be sent back. */
			if (choice.box != nullptr &&
				spread.poorest_left + int64_t{choice.box->slots.Value()} * 1000 / weight < spread.richest_left) {
				proposals.push_back(Grant(*choice.box, PermitPurpose::PP_MOVE, spread.poorest->name));
			}
		}
	}
	return proposals;
}

std::vector<Proposal> PlanList(const FleetState &fleet, const std::vector<ListedBox> &list)
{
	std::vector<Proposal> proposals;
	PoolDraft draft = PicturesOf(fleet);
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
			record.pool = known == fleet.boxes.end() ? ChoosePool(draft, it).Value() : known->second.pool.Value();
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
