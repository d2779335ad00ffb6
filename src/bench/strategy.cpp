/** @file strategy.cpp Strategies for planning a fleet. */
#include "strategy.h"

#include <algorithm>

namespace {

/** The glademount planner. */
class FleetPlanner : public Strategy {
public:
	explicit FleetPlanner(const PlannerPolicy &weights) { this->policy = weights; }
	[[nodiscard]] const char *Name() const override { return "glademount"; }
	std::vector<Proposal> Step(const FleetState &fleet, const PlannerInputs &inputs) override
	{
		return PlanBoxes(fleet, inputs, this->policy);
	}
};

/** Common part of the baselines: registration, steps under permits, greedy grants of maintenance permits. */
class Baseline : public Strategy {
public:
	std::vector<Proposal> Step(const FleetState &fleet, const PlannerInputs &inputs) override
	{
		std::vector<Proposal> proposals = this->Register(fleet, inputs);
		PoolDraft draft = PoolModelsOf(fleet);
		const auto append = [&](std::vector<Proposal> more) { std::ranges::move(more, std::back_inserter(proposals)); };
		append(PlanSteps(fleet, inputs));
		append(PlanDrains(fleet, nullptr, inputs));
		append(this->Rebalance(draft));
		append(this->GrantMaintenance(fleet, draft));
		return proposals;
	}

protected:
	size_t max_planned_down = SIZE_MAX; ///< Most boxes of the fleet in maintenance at once.

	/** @return Pool for a new box. */
	virtual PoolName ChoosePool(PoolDraft &draft) = 0;

	/** @return Permits to move boxes between pools. */
	virtual std::vector<Proposal> Rebalance(PoolDraft &draft) = 0;

	static size_t CountMoving(const PoolDraft &draft)
	{
		size_t n = 0;
		for (const auto &[name, pool] : draft) {
			n += static_cast<size_t>(std::ranges::count(pool.boxes, PermitPurpose::PP_MOVE, &Box::purpose));
		}
		return n;
	}

private:
	std::vector<Proposal> Register(const FleetState &fleet, const PlannerInputs &inputs)
	{
		/* The planner's registration, except for the choice of the pool. */
		std::vector<Proposal> proposals = PlanList(fleet, inputs.list);
		PoolDraft draft = PoolModelsOf(fleet);
		for (Proposal &it : proposals) {
			auto *record = it->change.AsBoxRegister();
			if (record == nullptr || fleet.boxes.contains(BoxName(record->box))) {
				continue;
			}
			const PoolName pool = this->ChoosePool(draft);
			record->pool = pool.Value();
			Box box;
			box.name = BoxName(record->box);
			box.SetDomains(ZoneName(record->zone), RackName(record->rack));
			box.slots = Slots(record->slots);
			box.pool = pool;
			box.health = BoxHealth::BH_UP;
			draft[pool].boxes.push_back(box);
		}
		return proposals;
	}

	std::vector<Proposal> GrantMaintenance(const FleetState &fleet, PoolDraft &draft) const
	{
		std::vector<Proposal> proposals;
		size_t active = 0;
		for (const auto &[name, pool] : draft) {
			active += static_cast<size_t>(std::ranges::count(pool.boxes, PermitPurpose::PP_MAINTAIN, &Box::purpose));
		}
		for (auto &[name, pool] : draft) {
			for (Box &box : pool.boxes) {
				const bool due = box.last_maintained == Millis(0) ||
								 box.last_maintained + Millis(this->policy.cycle.Value() / 2) < fleet.time;
				const bool free = box.state == BoxState::BS_SERVING && box.purpose == PermitPurpose::PP_NONE;
				if (!due || !free || active >= this->max_planned_down) {
					continue;
				}
				if (!TakesWork(box) || CheckBudget(pool, box, false).Ok()) {
					proposals.push_back(GrantPermit(box, PermitPurpose::PP_MAINTAIN, PoolName()));
					active++;
				}
			}
		}
		return proposals;
	}
};

/** Assigns new boxes to the smallest pool; moves boxes only to pools that miss their floors. */
class EvenSplit : public Baseline {
public:
	[[nodiscard]] const char *Name() const override { return "even_split"; }

protected:
	PoolName ChoosePool(PoolDraft &draft) override
	{
		return std::ranges::min_element(draft, {}, [](const auto &it) { return it.second.boxes.size(); })->first;
	}

	/** Moves a box from the largest pool that can spare one to a pool that misses its floors; one move at a time. */
	std::vector<Proposal> Rebalance(PoolDraft &draft) override
	{
		std::vector<Proposal> proposals;
		if (CountMoving(draft) > 0) {
			return proposals;
		}
		for (auto &[name, pool] : draft) {
			if (FloorsHold(CapacityOf(pool), FloorsOf(pool), true)) {
				continue;
			}
			auto donors = std::vector<PoolModel *>();
			for (auto &[other, it] : draft) {
				donors.push_back(&it);
			}
			std::ranges::sort(donors, std::greater(), [](const PoolModel *it) { return it->boxes.size(); });
			for (PoolModel *donor : donors) {
				const auto can_move = [&](const Box &box) {
					return TakesWork(box) && box.purpose == PermitPurpose::PP_NONE &&
						   CheckBudget(*donor, box, false).Ok();
				};
				const auto box = std::ranges::find_if(donor->boxes, can_move);
				if (donor->name != name && box != donor->boxes.end()) {
					proposals.push_back(GrantPermit(*box, PermitPurpose::PP_MOVE, name));
					return proposals;
				}
			}
		}
		return proposals;
	}
};

/** Assigns new boxes to the first pool with less than one and a half times its floors. */
class FirstFit : public EvenSplit {
public:
	[[nodiscard]] const char *Name() const override { return "first_fit"; }

protected:
	PoolName ChoosePool(PoolDraft &draft) override
	{
		for (const auto &[name, pool] : draft) {
			const PoolCapacity capacity = CapacityOf(pool);
			const uint64_t need = FloorsOf(pool).All() * 3 / 2;
			if (capacity.up < need) {
				return name;
			}
		}
		return EvenSplit::ChoosePool(draft);
	}
};

/** Maintains one box of the fleet at a time. */
class OneAtATime : public EvenSplit {
public:
	OneAtATime() { this->max_planned_down = 1; }
	[[nodiscard]] const char *Name() const override { return "one_at_a_time"; }
};

} // namespace

std::unique_ptr<Strategy> PlannerStrategy(const PlannerPolicy &policy)
{
	return std::make_unique<FleetPlanner>(policy);
}

std::unique_ptr<Strategy> EvenSplitStrategy()
{
	return std::make_unique<EvenSplit>();
}

std::unique_ptr<Strategy> FirstFitStrategy()
{
	return std::make_unique<FirstFit>();
}

std::unique_ptr<Strategy> OneAtATimeStrategy()
{
	return std::make_unique<OneAtATime>();
}
