/** @file fold_world.h A fold fed record by record, for tests of its rules. */
#ifndef FOLD_WORLD_H
#define FOLD_WORLD_H

#include "fleet/fleet_func.h"
#include "fleet/table_func.h"

/** Appends proposals of several writers to one log and folds it. */
class FoldWorld {
public:
	/**
	 * Appends one change.
	 * @param change The change.
	 * @param writer Who writes.
	 * @param incarnation Its start.
	 * @param sequence Its number; 0 for the writer's next.
	 * @return What the fold decided.
	 */
	template <class T>
	ResultCode Do(T change, const std::string &writer = "keeper", uint64_t incarnation = 1, uint64_t sequence = 0)
	{
		BatchT batch;
		batch.rule_version = 1;
		batch.writer = writer;
		batch.incarnation = incarnation;
		batch.region = "main";
		batch.term = this->term;
		auto proposal = MakeProposal(std::move(change));
		proposal->sequence = sequence == 0 ? ++this->sequences[writer + std::to_string(incarnation)] : sequence;
		batch.proposals.push_back(std::move(proposal));
		return this->Append(EncodeBatch(batch));
	}

	/** Appends bytes as they are. */
	ResultCode Append(std::string bytes)
	{
		this->now = this->now + Millis(10);
		this->log.push_back(LogRecord{LogOffset(this->log.size() + 1), this->now, std::move(bytes)});
		const std::vector<Decision> decisions = ApplyRecord(this->fleet, this->log.back());
		return decisions.empty() ? ResultCode::RC_MALFORMED : decisions.front().result.code;
	}

	/** Publishes cells against a version. */
	ResultCode Publish(const std::vector<CellEdit> &cells, uint64_t base, const std::vector<std::string> &removed = {})
	{
		glade::wire::TablePublishT publish;
		publish.base_version = base;
		publish.removed_services = removed;
		for (const CellEdit &it : cells) {
			auto cell = std::make_unique<glade::wire::TableCellT>();
			cell->service = it.key.service.Value();
			cell->column = it.key.column;
			cell->value = it.value;
			publish.cells.push_back(std::move(cell));
		}
		return this->Do(std::move(publish));
	}

	ResultCode Register(const std::string &box, const std::string &pool, const std::string &zone = "z",
						const std::string &rack = "r")
	{
		glade::wire::BoxRegisterT it;
		it.box = box;
		it.pool = pool;
		it.zone = zone;
		it.rack = rack;
		it.slots = 8;
		return this->Do(std::move(it));
	}

	ResultCode Health(const std::string &box, BoxHealth health)
	{
		glade::wire::BoxHealthReportT it;
		it.box = box;
		it.epoch = this->BoxOf(box).epoch.Value();
		it.health = static_cast<uint8_t>(health);
		return this->Do(std::move(it));
	}

	ResultCode Grant(const std::string &box, PermitPurpose purpose = PermitPurpose::PP_MAINTAIN,
					 const std::string &to = "", bool urgent = false)
	{
		glade::wire::PermitGrantT it;
		it.box = box;
		it.epoch = this->BoxOf(box).epoch.Value();
		it.purpose = static_cast<uint8_t>(purpose);
		it.move_to = to;
		it.urgent = urgent;
		return this->Do(std::move(it));
	}

	ResultCode Step(const std::string &box, BoxStepKind step, const std::vector<std::string> &confirmed = {})
	{
		glade::wire::BoxStepT it;
		it.box = box;
		it.permit = this->BoxOf(box).permit.Value();
		it.step = static_cast<uint8_t>(step);
		it.confirmed = confirmed;
		return this->Do(std::move(it));
	}

	ResultCode TakeTerm(uint64_t seen)
	{
		glade::wire::PlannerTermT it;
		it.region = "main";
		it.member = "keeper";
		it.seen_term = seen;
		const ResultCode code = this->Do(std::move(it));
		this->term = code == ResultCode::RC_OK ? seen + 1 : this->term;
		return code;
	}

	/** A keeper, a term, a pool with n boxes that serve, floor in slots. */
	void SetUp(int boxes, const std::string &floor, const std::string &guard)
	{
		glade::wire::MemberJoinT join;
		join.member = "keeper";
		join.incarnation = 1;
		join.role = static_cast<uint8_t>(MemberRole::MR_KEEPER);
		join.zone = "z";
		join.rules = 1;
		this->Do(std::move(join));
		this->TakeTerm(0);
		this->Publish({{CellKey{ServiceName("s"), "pool"}, "p"},
					   {CellKey{ServiceName("s"), "floor"}, floor},
					   {CellKey{ServiceName("s"), "guard"}, guard},
					   {CellKey{ServiceName("t"), "pool"}, "q"}},
					  0);
		for (int i = 0; i < boxes; i++) {
			this->Register("b" + std::to_string(i), "p", "z", "r" + std::to_string(i / 2));
			this->Health("b" + std::to_string(i), BoxHealth::BH_UP);
		}
	}

	[[nodiscard]] const Box &BoxOf(const std::string &name) const { return this->fleet.boxes.at(BoxName(name)); }

	FleetState fleet;                          ///< The state.
	std::vector<LogRecord> log;                ///< All records.
	std::map<std::string, uint64_t> sequences; ///< Last number of each writer.
	Millis now = Millis(1700000000000);        ///< The log's clock.
	uint64_t term = 0;                         ///< Term of the batches.
};

#endif /* FOLD_WORLD_H */
