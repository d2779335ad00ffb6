/** @file jobs_bench.cpp Jobs: acceptance rate, fairness among teams, delay of urgent jobs, mass cancellation. */
#include "bench_output.h"
#include "synthetic_log.h"

#include "../fleet/budget_func.h"
#include "../log/log_tail.h"
#include "../log/log_writer.h"
#include "../log/memory_log.h"
#include "../planner/planner_func.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace {

constexpr Millis PLAN_TICK(250);              ///< Time between two planning steps.
constexpr Millis LOG_DELAY(20);               ///< Delay of the answer to an append or read.
constexpr Millis CHECKPOINT_TIME(300);        ///< Time from a stop request until the job has stopped.
constexpr Millis REPORT_DELAY(250);           ///< Time from the end of a job until its report.
constexpr size_t PLACEMENTS_PER_STEP = 500;   ///< Maximum of placements in a planning step.
constexpr size_t MAX_CANCELLED_JOBS = 10000;  ///< Maximum of jobs cancelled at once.
constexpr size_t JOBS_PER_CANCELLATION = 500; ///< Maximum of jobs in one cancellation proposal.

/** @return Quantile at `share` by the nearest-rank method; 0 without values. */
double QuantileOf(std::vector<double> values, double share)
{
	if (values.empty()) {
		return 0;
	}
	std::ranges::sort(values);
	const auto at = static_cast<size_t>(std::ceil(share * static_cast<double>(values.size()))) - 1;
	return values[std::min(at, values.size() - 1)];
}

/**
 * Simulates a planner and boxes that run its jobs, over a log in memory. An urgent job runs for a second from its
 * placement; a batch job runs until it is stopped or cancelled.
 */
class JobsSimulation {
public:
	JobsSimulation(const FleetPreset &preset, uint64_t seed)
			: preset(preset), rng(seed), clock(Millis(1700000000000)), store(LogLimits{}),
			  log(this->clock, this->store),
			  tail(this->clock, this->log, [this](const std::vector<Decision> &it) { this->OnRecord(it); }),
			  writer(this->clock, this->log, "keeper", Incarnation(1))
	{
		this->log.faults.delay = LOG_DELAY;
		this->policy.drain_grace = Millis(MS_PER_HOUR);
	}

	/**
	 * Fills the fleet with batch jobs of all teams, then submits urgent jobs, then cancels jobs in bulk.
	 * @param quick Whether to submit fewer jobs, for a smoke test.
	 */
	void Run(bool quick)
	{
		this->tail.Start();
		this->SetUp();
		this->clock.RunUntil(Millis(20000));
		this->PlanTick();
		this->SubmitBatchJobs(quick ? 2000 : 20000);
		this->clock.RunUntil(this->clock.Now() + Millis(30000));
		this->MeasureFairness();
		this->SubmitUrgentJobs(quick ? Millis(5000) : Millis(60000));
		this->clock.RunUntil(this->clock.Now() + Millis(20000));
		this->CancelInBulk();
	}

	std::vector<double> start_delays_ms; ///< Time from submitting an urgent job until its placement is read, ms.
	size_t urgent_submitted = 0;         ///< Urgent jobs submitted.
	double accepted_per_second = 0; ///< Batch jobs decided per second, from the first submission to the last decision.
	double unfairness = 0; ///< Largest difference between teams with waiting jobs in the share of the quota in use.
	double cancel_ms = 0;  ///< Time until all cancellations were decided, ms.
	uint64_t cancel_appends = 0; ///< Appends to the log until all cancellations were decided.
	size_t preempted = 0;        ///< Running jobs that were asked to end at a checkpoint, for urgent ones.

	[[nodiscard]] const LogStore &Store() const { return this->store; }

private:
	FleetPreset preset;                             ///< Sizes and rates.
	RandomSource rng;                               ///< Random numbers of submissions.
	VirtualScheduler clock;                         ///< Virtual clock.
	LogStore store;                                 ///< Records of the log.
	MemoryLog log;                                  ///< Access to the log, with delays.
	LogTail tail;                                   ///< Follows the log and keeps the state.
	LogWriter writer;                               ///< Appends proposals to the log.
	PlannerPolicy policy;                           ///< Planner settings.
	size_t undecided_proposals = 0;                 ///< Placements proposed and not decided yet.
	std::map<JobName, Millis> submitted;            ///< Submission times of urgent jobs that are not placed yet.
	std::set<JobName> stopping;                     ///< Jobs that were requested to stop and have not reported it yet.
	std::set<std::pair<JobName, uint32_t>> running; ///< Not used.

	void Submit(Proposal it, WritePriority priority, LogWriter::Done done = {})
	{
		this->writer.Submit(std::move(it), priority, std::move(done));
	}

	void SetUp()
	{
		glade::wire::PlannerTermT term;
		term.region = "main";
		term.member = "keeper";
		this->Submit(MakeProposal(std::move(term)), WritePriority::WP_CONFIG,
					 [this](const Decision &) { this->writer.SetTerm(RegionName("main"), Term(1)); });
		SimulatedFleet simulated_fleet(this->preset, 1);
		const TableEdit edit = simulated_fleet.InitialTable();
		glade::wire::TablePublishT table;
		for (const CellEdit &it : edit.cells) {
			auto cell = std::make_unique<glade::wire::TableCellT>();
			cell->service = it.key.service.Value();
			cell->column = it.key.column;
			cell->value = it.value;
			table.cells.push_back(std::move(cell));
		}
		this->Submit(MakeProposal(std::move(table)), WritePriority::WP_CONFIG);
		for (uint32_t i = 0; i < this->preset.teams; i++) {
			glade::wire::TeamQuotaT quota;
			quota.team = "team-" + std::to_string(i);
			quota.units = this->preset.boxes * this->preset.slots * 2 / this->preset.teams + 4;
			this->Submit(MakeProposal(std::move(quota)), WritePriority::WP_CONFIG);
		}
		this->clock.After(Millis(3000), [this] { this->ProposeBoxChanges(); });
		this->clock.After(Millis(8000), [this] { this->ProposeBoxChanges(); });
	}

	/** Proposes changes from the list of boxes: the first call registers the boxes, the second reports their health. */
	void ProposeBoxChanges()
	{
		for (Proposal &it : PlanList(this->tail.State(), SimulatedFleet(this->preset, 1).List())) {
			this->Submit(std::move(it), WritePriority::WP_BOX);
		}
	}

	void SubmitJob(const std::string &name, WorkClass work_class, LogWriter::Done done)
	{
		glade::wire::JobAcceptT job;
		job.job = name;
		job.team = "team-" + std::to_string(this->rng.UniformBelow(this->preset.teams));
		job.work_class = static_cast<uint8_t>(work_class);
		job.units = 1;
		job.repeatable = true;
		this->Submit(MakeProposal(std::move(job)),
					 work_class == WorkClass::WC_URGENT ? WritePriority::WP_CONFIG : WritePriority::WP_JOB,
					 std::move(done));
	}

	void SubmitBatchJobs(size_t jobs)
	{
		const Millis begin = this->clock.Now();
		const auto left = std::make_shared<size_t>(jobs);
		for (size_t i = 0; i < jobs; i++) {
			this->SubmitJob("batch-" + std::to_string(i), WorkClass::WC_BATCH,
							[this, left, begin, jobs](const Decision &) {
								if (--*left == 0) {
									const double took = static_cast<double>((this->clock.Now() - begin).Value());
									this->accepted_per_second = static_cast<double>(jobs) * MS_PER_SECOND / took;
								}
							});
		}
	}

	void SubmitUrgentJobs(Millis span)
	{
		const Millis end = this->clock.Now() + span;
		while (this->clock.Now() < end) {
			const std::string name = "urgent-" + std::to_string(this->urgent_submitted++);
			this->submitted[JobName(name)] = this->clock.Now();
			this->SubmitJob(name, WorkClass::WC_URGENT, {});
			this->clock.RunUntil(this->clock.Now() + Millis(static_cast<int64_t>(20 + this->rng.UniformBelow(180))));
		}
	}

	/** Plans once all placements of the step before are decided, so that no job is placed twice. */
	void PlanTick()
	{
		if (this->undecided_proposals == 0) {
			JobPlan plan = PlanJobs(this->tail.State(), this->policy, PLACEMENTS_PER_STEP);
			for (Proposal &it : plan.placements) {
				this->undecided_proposals++;
				this->Submit(std::move(it), WritePriority::WP_JOB,
							 [this](const Decision &) { this->undecided_proposals--; });
			}
			for (const JobName &name : plan.stop) {
				this->RequestStop(name);
			}
		}
		this->clock.After(PLAN_TICK, [this] { this->PlanTick(); });
	}

	/** Requests a job to stop: its report follows after CHECKPOINT_TIME and REPORT_DELAY. */
	void RequestStop(const JobName &name)
	{
		if (!this->stopping.insert(name).second) {
			return;
		}
		this->preempted++;
		const uint32_t attempt = this->tail.State().jobs.at(name).attempt;
		this->clock.After(CHECKPOINT_TIME + REPORT_DELAY, [this, name, attempt] {
			this->stopping.erase(name);
			this->Report(name, attempt, JobOutcome::JO_CHECKPOINT);
		});
	}

	void Report(const JobName &name, uint32_t attempt, JobOutcome outcome)
	{
		glade::wire::JobReportT report;
		report.job = name.Value();
		report.attempt = attempt;
		report.outcome = static_cast<uint8_t>(outcome);
		this->Submit(MakeProposal(std::move(report)), WritePriority::WP_JOB);
	}

	/** Passes decisions to the writer and notes which urgent jobs were placed. */
	void OnRecord(const std::vector<Decision> &decisions)
	{
		this->writer.OnDecisions(decisions);
		for (auto it = this->submitted.begin(); it != this->submitted.end();) {
			const auto job = this->tail.State().jobs.find(it->first);
			if (job == this->tail.State().jobs.end() || job->second.state != JobState::JS_PLACED) {
				++it;
				continue;
			}
			this->start_delays_ms.push_back(static_cast<double>((this->clock.Now() - it->second).Value()));
			const uint32_t attempt = job->second.attempt;
			this->clock.After(Millis(1000),
							  [this, name = it->first, attempt] { this->Report(name, attempt, JobOutcome::JO_DONE); });
			it = this->submitted.erase(it);
		}
	}

	void MeasureFairness()
	{
		const FleetState &fleet = this->tail.State();
		std::set<TeamName> waiting;
		for (const auto &[name, job] : fleet.jobs) {
			if (job.state == JobState::JS_WAITING) {
				waiting.insert(job.team);
			}
		}
		double low = 1;
		double high = 0;
		for (const TeamName &team : waiting) {
			const auto used = fleet.team_used.find(team);
			const double share =
					static_cast<double>(used == fleet.team_used.end() ? 0 : used->second) / fleet.teams.at(team);
			low = std::min(low, share);
			high = std::max(high, share);
		}
		this->unfairness = waiting.empty() ? 0 : high - low;
	}

	void CancelInBulk()
	{
		const Millis begin = this->clock.Now();
		const uint64_t before = this->writer.Counters().appends;
		std::vector<std::string> names;
		for (const auto &[name, job] : this->tail.State().jobs) {
			if (names.size() < MAX_CANCELLED_JOBS &&
				(job.state == JobState::JS_WAITING || job.state == JobState::JS_PLACED)) {
				names.push_back(name.Value());
			}
		}
		const auto left = std::make_shared<size_t>(0);
		for (size_t i = 0; i < names.size(); i += JOBS_PER_CANCELLATION) {
			glade::wire::JobCancelT cancel;
			cancel.jobs.assign(names.begin() + static_cast<std::ptrdiff_t>(i),
							   names.begin() +
									   static_cast<std::ptrdiff_t>(std::min(i + JOBS_PER_CANCELLATION, names.size())));
			++*left;
			this->Submit(MakeProposal(std::move(cancel)), WritePriority::WP_JOB,
						 [this, left, begin, before](const Decision &) {
							 if (--*left == 0) {
								 this->cancel_ms = static_cast<double>((this->clock.Now() - begin).Value());
								 this->cancel_appends = this->writer.Counters().appends - before;
							 }
						 });
		}
		this->clock.RunUntil(this->clock.Now() + Millis(20000));
	}
};

} // namespace

int RunJobsBench(const BenchOptions &options)
{
	const FleetPreset preset = PresetByName(options.preset);
	JobsSimulation run(preset, options.seed);
	run.Run(options.quick);
	const auto print = [&](const char *figure, double value, const char *unit) {
		PrintFigure({"jobs", preset.name, figure, value, unit, "", 0, options.seed});
	};
	print("urgent_start_p50", QuantileOf(run.start_delays_ms, 0.5), "ms");
	print("urgent_start_p99", QuantileOf(run.start_delays_ms, 0.99), "ms");
	print("urgent_start_max", QuantileOf(run.start_delays_ms, 1.0), "ms");
	print("urgent_not_started", static_cast<double>(run.urgent_submitted - run.start_delays_ms.size()), "jobs");
	print("preempted_for_urgent", static_cast<double>(run.preempted), "jobs");
	print("jobs_accepted_a_second", run.accepted_per_second, "1/s");
	print("unfairness", run.unfairness, "largest difference of shares of quota");
	print("cancel_wave_in_force", run.cancel_ms, "ms");
	print("cancel_wave_appends", static_cast<double>(run.cancel_appends), "appends");
	return run.urgent_submitted == run.start_delays_ms.size() ? 0 : 1;
}
