/** @file strategy.cpp Strategies for planning a fleet. */
#include "strategy.h"

#include <algorithm>

namespace {

/** The glademount planner. */
class FleetPlanner : public Strategy {
public:
	explicit FleetPlanner(const PlannerPolicy &settings) { this->policy = settings; }
	[[nodiscard]] const char *Name() const override { return "glademount"; }
	std::vector<Proposal> Step(const FleetState &fleet, const PlannerInputs &inputs) override
	{
		return PlanBoxes(fleet, inputs, this->policy);
	}
};

/** Common part of the baselines: registration, steps under permits, maintenance of any box that the budget allows. */
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
	size_t max_in_maintenance = SIZE_MAX; ///< Maximum of boxes of the fleet under a maintenance permit at once.

	/** @return Pool for a new box. */
	virtual PoolName ChoosePool(PoolDraft &draft) = 0;

	/** @return Proposals of permits to move boxes between pools. */
	virtual std::vector<Proposal> Rebalance(PoolDraft &draft) = 0;

	/** @return Number of boxes under a permit to move. */
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
		/* The planner's registration, with another choice of the pool. */
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

	/** Grants permits to boxes that are due: never maintained yet, or last more than half a cycle ago. */
	std::vector<Proposal> GrantMaintenance(const FleetState &fleet, PoolDraft &draft) const
	{
		std::vector<Proposal> proposals;
		size_t in_maintenance = 0;
		for (const auto &[name, pool] : draft) {
			in_maintenance +=
					static_cast<size_t>(std::ranges::count(pool.boxes, PermitPurpose::PP_MAINTAIN, &Box::purpose));
		}
		for (auto &[name, pool] : draft) {
			for (Box &box : pool.boxes) {
				const bool due = box.last_maintained == Millis(0) ||
								 box.last_maintained + Millis(this->policy.cycle.Value() / 2) < fleet.time;
				const bool free = box.state == BoxState::BS_SERVING && box.purpose == PermitPurpose::PP_NONE;
				if (!due || !free || in_maintenance >= this->max_in_maintenance) {
					continue;
				}
				if (!TakesWork(box) || CheckBudget(pool, box, false).Ok()) {
					proposals.push_back(GrantPermit(box, PermitPurpose::PP_MAINTAIN, PoolName()));
					in_maintenance++;
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

/** Even split that maintains one box of the fleet at a time. */
class OneAtATime : public EvenSplit {
public:
	OneAtATime() { this->max_in_maintenance = 1; }
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
