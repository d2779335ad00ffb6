/** @file synthetic_log.cpp Generates a log for a fleet of a given size. */
#include "synthetic_log.h"

namespace {

constexpr Millis START_TIME(1700000000000); ///< Time stamp of the first record; the others follow a second apart.
constexpr uint64_t JOBS_PER_RECORD = 4;     ///< Jobs accepted in a record; several, as with group commit.

/** Generates the records of a log. */
class SyntheticLogGenerator {
public:
	SyntheticLogGenerator(const SyntheticSize &size, uint64_t seed) : size(size), rng(seed) {}

	std::vector<LogRecord> Generate(size_t records)
	{
		this->SetUp();
		for (size_t i = 0; i < records; i++) {
			this->AddRandomRecord();
		}
		return std::move(this->log);
	}

private:
	SyntheticSize size;          ///< Size of the fleet.
	RandomSource rng;            ///< Random numbers of the changes.
	std::vector<LogRecord> log;  ///< Records generated so far.
	BatchT batch;                ///< Contents of the next record.
	uint64_t sequence = 0;       ///< Sequence number of the last proposal.
	uint64_t jobs = 0;           ///< Number of jobs accepted.
	uint64_t cancelled_jobs = 0; ///< Number of jobs cancelled, oldest first.

	template <class T>
	void Add(T change)
	{
		auto proposal = MakeProposal(std::move(change));
		proposal->sequence = ++this->sequence;
		this->batch.proposals.push_back(std::move(proposal));
	}

	/** Appends the collected proposals to the log as one record. */
	void AppendRecord()
	{
		this->batch.rule_version = 1;
		this->batch.writer = "keeper";
		this->batch.incarnation = 1;
		this->batch.region = "main";
		this->batch.term = 1;
		const Millis stamp = START_TIME + Millis(static_cast<int64_t>(this->log.size()) * 1000);
		this->log.push_back(LogRecord{LogOffset(this->log.size() + 1), stamp, EncodeBatch(this->batch)});
		this->batch = BatchT();
	}

	static std::string BoxNameOf(uint64_t n) { return "box-" + std::to_string(10000 + n).substr(1); }

	void SetUp()
	{
		glade::wire::PlannerTermT term;
		term.region = "main";
		term.member = "keeper";
		this->Add(std::move(term));
		glade::wire::TablePublishT table;
		for (uint32_t i = 0; i < this->size.pools; i++) {
			for (const auto &[column, value] :
				 {std::pair{"pool", PoolNameOf(i)}, std::pair{"floor", std::string("8")},
				  std::pair{"weight", std::string("3")}, std::pair{"guard", std::string("zone")}}) {
				auto cell = std::make_unique<glade::wire::TableCellT>();
				cell->service = ServiceNameOf(i);
				cell->column = column;
				cell->value = value;
				table.cells.push_back(std::move(cell));
			}
		}
		this->Add(std::move(table));
		this->AppendRecord();
		for (uint32_t i = 0; i < this->size.teams; i++) {
			glade::wire::TeamQuotaT quota;
			quota.team = "team-" + std::to_string(i);
			quota.units = 1000;
			this->Add(std::move(quota));
		}
		this->AppendRecord();
		this->SetUpBoxes();
		for (uint32_t i = 0; i < this->size.entries; i++) {
			glade::wire::MemberJoinT join;
			join.member = "keeper";
			join.role = static_cast<uint8_t>(MemberRole::MR_KEEPER);
			join.zone = "zone-" + std::to_string(i % this->size.zones);
			join.incarnation = 1;
			this->Add(join);
			join.member = "entry-" + std::to_string(i);
			join.role = static_cast<uint8_t>(MemberRole::MR_ENTRY);
			join.address = "10.1.0." + std::to_string(i) + ":8001";
			join.frames = "10.1.0." + std::to_string(i) + ":8002";
			this->Add(std::move(join));
		}
		this->AppendRecord();
	}

	void SetUpBoxes()
	{
		for (uint32_t i = 0; i < this->size.boxes; i++) {
			glade::wire::BoxRegisterT box;
			box.box = BoxNameOf(i);
			box.zone = "zone-" + std::to_string(i % this->size.zones);
			box.rack = "rack-" + std::to_string(i / 4);
			box.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80";
			box.slots = 8;
			box.pool = PoolNameOf(i % this->size.pools);
			this->Add(std::move(box));
			glade::wire::BoxHealthReportT health;
			health.box = BoxNameOf(i);
			health.epoch = 1;
			health.health = static_cast<uint8_t>(BoxHealth::BH_UP);
			this->Add(std::move(health));
		}
		this->AppendRecord();
	}

	/** Adds a record: of ten, two change a cell, one grants a permit and seven change jobs, on average. */
	void AddRandomRecord()
	{
		const uint64_t roll = this->rng.UniformBelow(10);
		if (roll < 2) {
			this->AddCellChange();
		} else if (roll < 3) {
			glade::wire::PermitGrantT grant;
			grant.box = BoxNameOf(this->rng.UniformBelow(this->size.boxes));
			grant.epoch = 1;
			grant.purpose = static_cast<uint8_t>(PermitPurpose::PP_MAINTAIN);
			this->Add(std::move(grant));
		} else {
			this->AddJobChanges();
		}
		this->AppendRecord();
	}

	void AddCellChange()
	{
		glade::wire::TablePublishT table;
		table.base_version = this->log.size();
		auto cell = std::make_unique<glade::wire::TableCellT>();
		cell->service = ServiceNameOf(static_cast<uint32_t>(this->rng.UniformBelow(this->size.pools)));
		cell->column = "weight";
		cell->value = std::to_string(1 + this->rng.UniformBelow(9));
		table.cells.push_back(std::move(cell));
		this->Add(std::move(table));
	}

	/** Accepts jobs, then cancels the oldest ones above the maximum. */
	void AddJobChanges()
	{
		for (uint64_t i = 0; i < JOBS_PER_RECORD; i++) {
			glade::wire::JobAcceptT job;
			job.job = "job-" + std::to_string(++this->jobs);
			job.team = "team-" + std::to_string(this->rng.UniformBelow(this->size.teams));
			job.work_class = static_cast<uint8_t>(WorkClass::WC_BATCH);
			job.units = 1;
			job.repeatable = true;
			this->Add(std::move(job));
		}
		while (this->jobs - this->cancelled_jobs > this->size.jobs) {
			glade::wire::JobCancelT cancel;
			cancel.jobs.push_back("job-" + std::to_string(++this->cancelled_jobs));
			this->Add(std::move(cancel));
		}
	}
};

} // namespace

SyntheticSize SyntheticSizeOf(const FleetPreset &preset)
{
	SyntheticSize size;
	size.boxes = preset.boxes;
	size.pools = preset.pools;
	size.teams = preset.teams;
	size.zones = preset.zones;
	size.entries = preset.zones * 3;
	size.jobs = static_cast<uint32_t>(preset.jobs_per_day);
	return size;
}

std::vector<LogRecord> SyntheticLog(const SyntheticSize &size, size_t records, uint64_t seed)
{
	return SyntheticLogGenerator(size, seed).Generate(records);
}
