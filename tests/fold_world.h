/** @file fold_world.h A fleet state to which records are applied one by one, for tests of the command rules. */
#ifndef FOLD_WORLD_H
#define FOLD_WORLD_H

#include "fleet/fleet_func.h"
#include "fleet/table_func.h"

/** Appends proposals of several writers to one log and applies each record to a FleetState. */
class FoldWorld {
public:
	/**
	 * Appends a batch with one proposal.
	 * @param change The proposed command.
	 * @param writer Name of the writer.
	 * @param incarnation Incarnation of the writer.
	 * @param sequence Sequence number of the proposal; 0 for the next one of this incarnation.
	 * @return Result code of the decision; RC_MALFORMED if there is none.
	 */
	template <class T>
	ResultCode Propose(T change, const std::string &writer = "keeper", uint64_t incarnation = 1, uint64_t sequence = 0)
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

	/** Appends a record with these bytes. @return Code of its first decision; RC_MALFORMED if there is none. */
	ResultCode Append(std::string bytes)
	{
		this->now = this->now + Millis(10);
		this->log.push_back(LogRecord{LogOffset(this->log.size() + 1), this->now, std::move(bytes)});
		const std::vector<Decision> decisions = ApplyRecord(this->fleet, this->log.back());
		return decisions.empty() ? ResultCode::RC_MALFORMED : decisions.front().result.code;
	}

	/**
	 * Publishes changes of the table.
	 * @param cells New values of cells.
	 * @param base Version of the table that the changes are based on.
	 * @param removed Names of services to remove.
	 * @return Result code of the decision.
	 */
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
		return this->Propose(std::move(publish));
	}

	ResultCode Register(const std::string &box, const std::string &pool, const std::string &zone = "z",
						const std::string &rack = "r")
	{
		glade::wire::BoxRegisterT command;
		command.box = box;
		command.pool = pool;
		command.zone = zone;
		command.rack = rack;
		command.slots = 8;
		return this->Propose(std::move(command));
	}

	ResultCode Health(const std::string &box, BoxHealth health)
	{
		glade::wire::BoxHealthReportT command;
		command.box = box;
		command.epoch = this->BoxOf(box).epoch.Value();
		command.health = static_cast<uint8_t>(health);
		return this->Propose(std::move(command));
	}

	ResultCode Grant(const std::string &box, PermitPurpose purpose = PermitPurpose::PP_MAINTAIN,
					 const std::string &to = "", bool urgent = false)
	{
		glade::wire::PermitGrantT command;
		command.box = box;
		command.epoch = this->BoxOf(box).epoch.Value();
		command.purpose = static_cast<uint8_t>(purpose);
		command.move_to = to;
		command.urgent = urgent;
		return this->Propose(std::move(command));
	}

	ResultCode Step(const std::string &box, BoxStepKind step, const std::vector<std::string> &confirmed = {})
	{
		glade::wire::BoxStepT command;
		command.box = box;
		command.permit = this->BoxOf(box).permit.Value();
		command.step = static_cast<uint8_t>(step);
		command.confirmed = confirmed;
		return this->Propose(std::move(command));
	}

	ResultCode TakeTerm(uint64_t seen)
	{
		glade::wire::PlannerTermT command;
		command.region = "main";
		command.member = "keeper";
		command.seen_term = seen;
		const ResultCode code = this->Propose(std::move(command));
		this->term = code == ResultCode::RC_OK ? seen + 1 : this->term;
		return code;
	}

	/**
	 * Sets up a keeper with a planner term, services "s" (pool "p") and "t" (pool "q"), and healthy boxes in pool "p".
	 * @param boxes Number of boxes; two per rack.
	 * @param floor Floor of service "s", in slots.
	 * @param guard Value of the guard column of service "s".
	 */
	void SetUp(int boxes, const std::string &floor, const std::string &guard)
	{
		glade::wire::MemberJoinT join;
		join.member = "keeper";
		join.incarnation = 1;
		join.role = static_cast<uint8_t>(MemberRole::MR_KEEPER);
		join.zone = "z";
		join.rules = 1;
		this->Propose(std::move(join));
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

	FleetState fleet;                          ///< State after all records.
	std::vector<LogRecord> log;                ///< All records appended so far.
	std::map<std::string, uint64_t> sequences; ///< Last sequence number of each writer and incarnation.
	Millis now = Millis(1700000000000);        ///< Time of the last record.
	uint64_t term = 0;                         ///< Planner term that batches carry.
};

#endif /* FOLD_WORLD_H */
