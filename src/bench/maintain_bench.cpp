/** @file maintain_bench.cpp Three weeks of maintenance on a simulated fleet: the planner compared with baselines. */
#include "bench_output.h"
#include "simulated_fleet.h"
#include "strategy.h"

#include <algorithm>
#include <chrono>

namespace {

constexpr Millis TIME_STEP(5 * 60 * MS_PER_SECOND); ///< Virtual time of a simulation step.
constexpr Millis SPAN(21 * MS_PER_DAY);             ///< Length of a run.
constexpr Millis START_TIME(1000 * MS_PER_DAY);     ///< Virtual wall clock at the start.
constexpr Millis JOB_TIME_MEAN(2 * MS_PER_HOUR);    ///< Mean run time of a job.
constexpr int PLANNING_ROUNDS_PER_STEP = 3; ///< Planning steps in a simulation step; each builds on the one before.
constexpr size_t PLACEMENTS_PER_STEP = 500; ///< Maximum of placements in a planning step.
constexpr double US_PER_MS = 1000.0;        ///< Microseconds in a millisecond.

/** Result of a run, or the sum over several seeds. A pool-step is a pool in one simulation step. */
struct MaintainResult {
	uint64_t violations_planned = 0;   ///< Pool-steps below the floors that would be met without planned work.
	uint64_t violations_unplanned = 0; ///< Pool-steps below the floors because of failures alone.
	uint64_t overdue = 0;              ///< Boxes not maintained during the run.
	double rollout_hours = 0;          ///< Time until the last box was maintained for the first time, hours.
	uint64_t box_moves = 0;            ///< Moves of boxes between pools.
	uint64_t job_moves = 0;            ///< Jobs stopped at a checkpoint to drain a box.
	double buffer_bound = 0; ///< Lower bound of `buffer_share`: pools spread evenly over zones, no box down by plan.
	double buffer_share = 0; ///< Mean share of slots that are kept idle for guards or down by plan.
	uint64_t appends = 0;    ///< Records appended.
	uint64_t bytes = 0;      ///< Bytes of the appended records.
	uint64_t rejected = 0;   ///< Proposals that the fold rejected.
	uint64_t steps = 0;      ///< Planning steps.
	double plan_us = 0;      ///< Time of all planning steps, microseconds.
	double plan_us_max = 0;  ///< Time of the longest planning step, microseconds.
};

/** Runs a strategy on a simulated fleet. */
class MaintenanceSimulation {
public:
	MaintenanceSimulation(const FleetPreset &preset, uint64_t seed, Strategy &strategy)
			: preset(preset), strategy(strategy), simulated_fleet(preset, seed), job_rng(seed * 7919 + 1)
	{
	}

	MaintainResult Run(Millis span)
	{
		this->SetUp();
		for (Millis t(0); t < span; t = t + TIME_STEP) {
			this->now = START_TIME + t;
			this->simulated_fleet.Step(this->now, TIME_STEP);
			this->RunStep();
		}
		this->Summarize();
		return this->result;
	}

private:
	FleetPreset preset;                         ///< Sizes and rates.
	Strategy &strategy;                         ///< Strategy under test.
	SimulatedFleet simulated_fleet;             ///< Actual state of the boxes.
	RandomSource job_rng;                       ///< Random numbers of jobs, apart from those of the fleet.
	FleetState fleet;                           ///< State folded from the log.
	Millis now = START_TIME;                    ///< Virtual time.
	uint64_t sequence = 0;                      ///< Last sequence number of the writer.
	uint64_t offset = 0;                        ///< Last offset of the log.
	uint64_t jobs = 0;                          ///< Jobs accepted.
	std::map<JobName, Millis> job_ends;         ///< End times of running jobs.
	MaintainResult result;                      ///< Figures so far.
	double buffer_sum = 0;                      ///< Sum of the measured buffer shares.
	double bound_sum = 0;                       ///< Sum of the lower bounds of the buffer share.
	uint64_t measurements = 0;                  ///< Number of summands in the sums.
	Millis last_first_maintenance = START_TIME; ///< Latest first maintenance of a box.

	/** Appends proposals as one record and folds it. */
	void Append(std::vector<Proposal> proposals)
	{
		if (proposals.empty()) {
			return;
		}
		BatchT batch;
		batch.rule_version = 1;
		batch.writer = "planner";
		batch.incarnation = 1;
		batch.region = "main";
		batch.term = 1;
		for (Proposal &it : proposals) {
			it->sequence = ++this->sequence;
			batch.proposals.push_back(std::move(it));
		}
		const LogRecord record{LogOffset(++this->offset), this->now, EncodeBatch(batch)};
		this->result.appends++;
		this->result.bytes += record.bytes.size();
		for (const Decision &it : ApplyRecord(this->fleet, record)) {
			this->result.rejected += it.result.Ok() ? 0 : 1;
		}
	}

	template <class T>
	void AppendOne(T change)
	{
		std::vector<Proposal> one;
		one.push_back(MakeProposal(std::move(change)));
		this->Append(std::move(one));
	}

	void Publish(const TableEdit &edit)
	{
		if (edit.cells.empty()) {
			return;
		}
		glade::wire::TablePublishT publish;
		publish.base_version = edit.base.Value();
		for (const CellEdit &it : edit.cells) {
			auto cell = std::make_unique<glade::wire::TableCellT>();
			cell->service = it.key.service.Value();
			cell->column = it.key.column;
			cell->value = it.value;
			publish.cells.push_back(std::move(cell));
		}
		this->AppendOne(std::move(publish));
	}

	void SetUp()
	{
		glade::wire::PlannerTermT term;
		term.region = "main";
		term.member = "planner";
		this->AppendOne(std::move(term));
		this->Publish(this->simulated_fleet.InitialTable());
		std::vector<Proposal> quotas;
		const uint32_t units = std::max(this->preset.boxes * this->preset.slots / this->preset.teams, 4U);
		for (uint32_t i = 0; i < this->preset.teams; i++) {
			glade::wire::TeamQuotaT quota;
			quota.team = "team-" + std::to_string(i);
			quota.units = units;
			quotas.push_back(MakeProposal(std::move(quota)));
		}
		this->Append(std::move(quotas));
	}

	void RunStep()
	{
		this->Publish(this->simulated_fleet.RandomTableEdit(this->fleet, TIME_STEP));
		this->AcceptJobs();
		this->ReportEndedJobs();
		for (int i = 0; i < PLANNING_ROUNDS_PER_STEP; i++) {
			this->Plan();
		}
		this->PlanJobsOnce();
		this->Measure();
	}

	void Plan()
	{
		PlannerInputs inputs;
		inputs.list = this->simulated_fleet.List();
		const std::map<BoxName, Box> before = this->fleet.boxes;
		const auto begin = std::chrono::steady_clock::now();
		std::vector<Proposal> proposals = this->strategy.Step(this->fleet, inputs);
		const auto took = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
		this->result.steps++;
		this->result.plan_us += took;
		this->result.plan_us_max = std::max(this->result.plan_us_max, took);
		this->Append(std::move(proposals));
		this->ApplyChanges(before);
	}

	/**
	 * Counts moves and first maintenances and carries out reboots.
	 * @param before Boxes before the planning step.
	 */
	void ApplyChanges(const std::map<BoxName, Box> &before)
	{
		for (const auto &[name, box] : this->fleet.boxes) {
			const auto old = before.find(name);
			if (old == before.end()) {
				continue;
			}
			this->result.box_moves += old->second.pool != box.pool ? 1 : 0;
			if (old->second.state != box.state && box.state == BoxState::BS_REBOOTING) {
				this->simulated_fleet.Reboot(name, box.permit, this->now);
			}
			if (old->second.last_maintained == Millis(0) && box.last_maintained != Millis(0)) {
				this->last_first_maintenance = this->now;
			}
		}
	}

	/** Accepts the jobs that arrive in a simulation step. */
	void AcceptJobs()
	{
		const double jobs_per_step =
				this->preset.jobs_per_day * static_cast<double>(TIME_STEP.Value()) / static_cast<double>(MS_PER_DAY);
		std::vector<Proposal> proposals;
		for (double left = jobs_per_step; left > 0; left -= 1) {
			/* Over a step of one day, the daily rate is the probability. */
			if (!this->job_rng.EventOccurs(std::min(left, 1.0), Millis(MS_PER_DAY))) {
				continue;
			}
			glade::wire::JobAcceptT job;
			job.job = "job-" + std::to_string(++this->jobs);
			job.team = "team-" + std::to_string(this->job_rng.UniformBelow(this->preset.teams));
			job.work_class = static_cast<uint8_t>(WorkClass::WC_BATCH);
			job.units = 1 + static_cast<uint32_t>(this->job_rng.UniformBelow(3));
			job.repeatable = true;
			proposals.push_back(MakeProposal(std::move(job)));
		}
		this->Append(std::move(proposals));
	}

	/** Adds the report that a job ended to `proposals`. */
	void AddJobReport(std::vector<Proposal> &proposals, const Job &job, JobOutcome outcome)
	{
		glade::wire::JobReportT report;
		report.job = job.name.Value();
		report.attempt = job.attempt;
		report.outcome = static_cast<uint8_t>(outcome);
		proposals.push_back(MakeProposal(std::move(report)));
		this->job_ends.erase(job.name);
	}

	/** Reports jobs placed under an earlier epoch of their box as expired, and jobs whose run time is over as done. */
	void ReportEndedJobs()
	{
		std::vector<Proposal> proposals;
		for (const auto &[name, job] : this->fleet.jobs) {
			if (job.state != JobState::JS_PLACED) {
				continue;
			}
			const auto box = this->fleet.boxes.find(job.box);
			if (box->second.epoch != job.box_epoch) {
				this->AddJobReport(proposals, job, JobOutcome::JO_LEASE_EXPIRED);
			} else if (const auto end = this->job_ends.find(name);
					   end != this->job_ends.end() && end->second <= this->now) {
				this->AddJobReport(proposals, job, JobOutcome::JO_DONE);
			}
		}
		this->Append(std::move(proposals));
	}

	/** Places waiting jobs, draws their end times, and stops jobs on draining boxes. */
	void PlanJobsOnce()
	{
		JobPlan plan = PlanJobs(this->fleet, this->strategy.JobPolicy(), PLACEMENTS_PER_STEP);
		this->Append(std::move(plan.placements));
		for (const auto &[name, job] : this->fleet.jobs) {
			if (job.state == JobState::JS_PLACED && !this->job_ends.contains(name)) {
				this->job_ends[name] = this->now + this->job_rng.ExponentialSpan(JOB_TIME_MEAN);
			}
		}
		std::vector<Proposal> stops;
		for (const JobName &name : plan.stop) {
			this->result.job_moves++;
			this->AddJobReport(stops, this->fleet.jobs.at(name), JobOutcome::JO_CHECKPOINT);
		}
		this->Append(std::move(stops));
	}

	/** Adds the buffer shares of the present state and counts pools below their floors. */
	void Measure()
	{
		uint64_t buffer_slots = 0;
		uint64_t all_slots = 0;
		uint64_t bound_slots = 0;
		for (const auto &[name, pool] : PoolModelsOf(this->fleet)) {
			const PoolFloors floors = FloorsOf(pool);
			const PoolCapacity capacity = CapacityOf(pool);
			PoolModel without_plan = pool;
			uint64_t planned_down = 0;
			for (Box &box : without_plan.boxes) {
				all_slots += box.slots.Value();
				if (box.permit != PermitId()) {
					planned_down += box.slots.Value();
					box.state = BoxState::BS_SERVING;
					box.health = BoxHealth::BH_UP;
				}
			}
			/* With an even spread, the loss of a zone takes this many boxes. */
			const uint64_t up_boxes = capacity.up / this->preset.slots;
			bound_slots += (up_boxes + this->preset.zones - 1) / this->preset.zones * this->preset.slots;
			buffer_slots += HeadroomOf(capacity, floors) + planned_down;
			if (!FloorsHold(capacity, floors, false)) {
				const bool caused_by_plan = FloorsHold(CapacityOf(without_plan), floors, false);
				(caused_by_plan ? this->result.violations_planned : this->result.violations_unplanned)++;
			}
		}
		this->buffer_sum += all_slots == 0 ? 0 : static_cast<double>(buffer_slots) / static_cast<double>(all_slots);
		this->bound_sum += all_slots == 0 ? 0 : static_cast<double>(bound_slots) / static_cast<double>(all_slots);
		this->measurements++;
	}

	void Summarize()
	{
		this->result.buffer_share = this->buffer_sum / static_cast<double>(this->measurements);
		this->result.buffer_bound = this->bound_sum / static_cast<double>(this->measurements);
		this->result.rollout_hours =
				static_cast<double>((this->last_first_maintenance - START_TIME).Value()) / MS_PER_HOUR;
		this->result.overdue = static_cast<uint64_t>(std::ranges::count_if(
				this->fleet.boxes, [](const auto &it) { return it.second.last_maintained == Millis(0); }));
	}
};

/** A named figure of a result. */
struct MaintainFigure {
	const char *name;                        ///< Name in the output.
	const char *unit;                        ///< Unit.
	double (*value)(const MaintainResult &); ///< Reads the figure from a result.
};

constexpr MaintainFigure _figures[] = {
		{"budget_violations_planned", "pool-steps",
		 [](const MaintainResult &it) { return static_cast<double>(it.violations_planned); }},
		{"budget_violations_unplanned", "pool-steps",
		 [](const MaintainResult &it) { return static_cast<double>(it.violations_unplanned); }},
		{"boxes_overdue", "boxes", [](const MaintainResult &it) { return static_cast<double>(it.overdue); }},
		{"rollout_hours", "h", [](const MaintainResult &it) { return it.rollout_hours; }},
		{"box_moves", "moves", [](const MaintainResult &it) { return static_cast<double>(it.box_moves); }},
		{"job_moves", "moves", [](const MaintainResult &it) { return static_cast<double>(it.job_moves); }},
		{"buffer_share", "share of slots", [](const MaintainResult &it) { return it.buffer_share; }},
		{"buffer_share_bound", "share of slots", [](const MaintainResult &it) { return it.buffer_bound; }},
		{"appends_a_second", "1/s",
		 [](const MaintainResult &it) {
			 return static_cast<double>(it.appends) * MS_PER_SECOND / static_cast<double>(SPAN.Value());
		 }},
		{"append_bytes_a_second", "B/s",
		 [](const MaintainResult &it) {
			 return static_cast<double>(it.bytes) * MS_PER_SECOND / static_cast<double>(SPAN.Value());
		 }},
		{"proposals_refused", "proposals", [](const MaintainResult &it) { return static_cast<double>(it.rejected); }},
		{"plan_mean", "ms",
		 [](const MaintainResult &it) { return it.plan_us / static_cast<double>(it.steps) / US_PER_MS; }},
		{"plan_max", "ms", [](const MaintainResult &it) { return it.plan_us_max / US_PER_MS; }},
};

/** Adds a result to `sum`; for plan_us_max, takes the maximum. */
void AddTo(MaintainResult &sum, const MaintainResult &it)
{
	sum.violations_planned += it.violations_planned;
	sum.violations_unplanned += it.violations_unplanned;
	sum.overdue += it.overdue;
	sum.rollout_hours += it.rollout_hours;
	sum.box_moves += it.box_moves;
	sum.job_moves += it.job_moves;
	sum.buffer_share += it.buffer_share;
	sum.buffer_bound += it.buffer_bound;
	sum.appends += it.appends;
	sum.bytes += it.bytes;
	sum.rejected += it.rejected;
	sum.steps += it.steps;
	sum.plan_us += it.plan_us;
	sum.plan_us_max = std::max(sum.plan_us_max, it.plan_us_max);
}

} // namespace

int RunMaintainBench(const BenchOptions &options)
{
	const FleetPreset preset = PresetByName(options.preset);
	const PlannerPolicy policy = preset.lindeboom_policy ? LindeboomPolicy() : GreenhousePolicy();
	const Millis span = options.quick ? Millis(2 * MS_PER_DAY) : SPAN;
	std::vector<std::unique_ptr<Strategy>> strategies;
	strategies.push_back(PlannerStrategy(policy));
	strategies.push_back(EvenSplitStrategy());
	strategies.push_back(FirstFitStrategy());
	strategies.push_back(OneAtATimeStrategy());
	std::vector<MaintainResult> results;
	for (const auto &strategy : strategies) {
		MaintainResult sum;
		for (uint64_t seed = options.seed; seed < options.seed + options.seeds; seed++) {
			AddTo(sum, MaintenanceSimulation(preset, seed, *strategy).Run(span));
		}
		results.push_back(sum);
	}
	for (const MaintainFigure &it : _figures) {
		const double planner_value = it.value(results[0]);
		PrintFigure({"maintain", preset.name, it.name, planner_value, it.unit, "", 0, options.seed});
		for (size_t i = 1; i < strategies.size(); i++) {
			const double baseline_value = it.value(results[i]);
			const std::string name = std::string(it.name) + "." + strategies[i]->Name();
			PrintFigure({"maintain", preset.name, name, baseline_value, it.unit, strategies[i]->Name(),
						 baseline_value == 0 ? 0 : planner_value / baseline_value, options.seed});
		}
	}
	return results[0].violations_planned == 0 ? 0 : 1;
}
