/** @file shard_rank.cpp Shard: demand of jobs, and the order in which they are served. */
#include "../account/fair_split.h"
#include "shard_base.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace {

/** A job that takes more than this many times its objective is worth nothing to its caller. */
constexpr double LATE_FACTOR = 3.0;
constexpr Millis OUTLOOK_MAX_AGE(1000); ///< Maximum age of an outlook; learned run times change slowly.
/** Maximum age of the outlook of a job with occurrences at set times, which come due without an event. */
constexpr Millis OUTLOOK_MAX_AGE_TIMED(100);

} // namespace

bool Shard::StepReady(const ShardJob &job, uint32_t occurrence, uint32_t step) const
{
	return std::ranges::all_of(job.spec.steps[step].after, [&](uint32_t before) {
		const size_t first = job.IndexOf(TaskId{job.spec.id, occurrence, before, 0});
		return std::ranges::all_of(job.tasks | std::views::drop(first) | std::views::take(job.spec.steps[before].count),
								   [](const ShardTask &it) { return it.phase == TaskPhase::TP_DONE; });
	});
}

double Shard::RunTimeOf(const ShardJob &job, const StepSpec &step) const
{
	/* Callers' estimates are inaccurate, and the run times of the route's other tasks may not apply to this job. The
	 * geometric mean of both is more accurate than either. */
	const auto estimate_ms = std::max(static_cast<double>(step.estimate.Value()), 1.0);
	const auto learned = this->run_times.find(job.spec.route);
	return learned == this->run_times.end() ? estimate_ms : std::sqrt(estimate_ms * learned->second);
}

JobOutlook Shard::MakeOutlook(const ShardJob &job) const
{
	JobOutlook out;
	out.stale = false;
	out.made_at = this->scheduler.Now();
	std::vector<double> chain_all(job.spec.steps.size());
	std::vector<double> chain_left(job.spec.steps.size());
	for (uint32_t n = 0; n < job.spec.steps.size(); n++) {
		const StepSpec &step = job.spec.steps[n];
		const double run_time = this->RunTimeOf(job, step);
		const size_t first = job.IndexOf(TaskId{job.spec.id, 0, n, 0});
		const auto tasks = job.tasks | std::views::drop(first) | std::views::take(step.count);
		const auto open =
				std::ranges::count_if(tasks, [](const ShardTask &it) { return it.phase != TaskPhase::TP_DONE; });
		const auto waiting =
				std::ranges::count_if(tasks, [&](const ShardTask &it) { return Startable(job, step, it); });
		out.lasting = out.lasting || step.lasting;
		for (const uint32_t before : step.after) {
			chain_all[n] = std::max(chain_all[n], chain_all[before]);
			chain_left[n] = std::max(chain_left[n], chain_left[before]);
		}
		chain_all[n] += run_time;
		chain_left[n] += open > 0 ? run_time : 0;
		out.chain_all = std::max(out.chain_all, chain_all[n]);
		out.chain_left = std::max(out.chain_left, chain_left[n]);
		out.waiting_work +=
				static_cast<double>(waiting) * run_time * static_cast<double>(std::max<int64_t>(step.demand.cpu, 1));
	}
	if (job.spec.repeats > 0) {
		/* Only the first occurrence was counted, so make sure that the job is not taken for one without waiting work.
		 */
		out.waiting_work = std::max(out.waiting_work, 1.0);
	}
	out.ready = this->ReadyDemand(job);
	return out;
}

void Shard::RefreshOutlook(ShardJob &job, Millis now) const
{
	const Millis age = now - job.outlook.made_at;
	if (job.outlook.stale || age >= (job.spec.repeats > 0 ? OUTLOOK_MAX_AGE_TIMED : OUTLOOK_MAX_AGE)) {
		job.outlook = this->MakeOutlook(job);
	}
}

double Shard::ObjectiveOf(const ShardJob &job)
{
	return job.policy.stretch * job.outlook.chain_all + static_cast<double>(job.policy.headroom.Value());
}

JobRank Shard::RankOf(const ShardJob &job, Millis wall_now)
{
	const JobOutlook &outlook = job.outlook;
	JobRank rank;
	rank.priority = job.policy.priority;
	rank.waiting_work = outlook.waiting_work;
	const auto age = static_cast<double>((wall_now - job.spec.requested_at).Value());
	const double objective = ObjectiveOf(job);
	if (outlook.lasting) {
		rank.timeliness = JobTimeliness::JT_LASTING;
	} else if (age + outlook.chain_left <= objective) {
		rank.timeliness = JobTimeliness::JT_ON_TIME;
	} else {
		rank.timeliness = age + outlook.chain_left <= LATE_FACTOR * objective ? JobTimeliness::JT_LATE
																			  : JobTimeliness::JT_TOO_LATE;
	}
	return rank;
}

void Shard::MarkBeyondShares(std::vector<RankedJob> &jobs, const PlaceRound &round) const
{
	double room = 0;
	double demanded = 0;
	std::ranges::for_each(round.open, [&room](const OpenBox &it) { room += static_cast<double>(it.free.cpu); });
	std::ranges::for_each(
			jobs, [&demanded](const RankedJob &it) { demanded += static_cast<double>(it.job->outlook.ready.cpu); });
	if (demanded <= room) {
		return; /* There is room for all ready tasks. */
	}
	/* Without shares, an account that floods a queue takes most of the room, and the value that other accounts get from
	 * their jobs falls to a third. */
	std::map<AccountName, size_t> indices;
	std::vector<WeightedWant> wants;
	std::vector<double> in_use;
	for (const RankedJob &it : jobs) {
		const AccountName &account = it.job->spec.account;
		const auto [place, added] = indices.try_emplace(account, wants.size());
		if (added) {
			in_use.push_back(static_cast<double>(this->book.UsedBy(account).cpu));
			room += in_use.back();
			wants.push_back(WeightedWant{in_use.back(), this->book.WeightOf(account)});
		}
		wants[place->second].want += static_cast<double>(it.job->outlook.ready.cpu);
	}
	const std::vector<double> shares = WeightedSplit(wants, room);
	for (RankedJob &it : jobs) {
		const size_t place = indices.at(it.job->spec.account);
		const bool owned = !it.job->spec.account.Value().empty();
		it.rank.beyond_share = owned && in_use[place] >= shares[place];
		in_use[place] += static_cast<double>(it.job->outlook.ready.cpu);
	}
	std::ranges::stable_sort(jobs, {}, &RankedJob::rank);
}

std::vector<Shard::RankedJob> Shard::JobsInOrder()
{
	std::vector<RankedJob> order;
	/* The clocks are read once, since there are some hundred jobs per round. */
	const Millis now = this->scheduler.Now();
	const Millis wall_now = this->scheduler.WallNow();
	for (ShardJob *job : this->live | std::views::values) {
		this->RefreshOutlook(*job, now);
		if (job->outlook.waiting_work > 0) {
			order.push_back(RankedJob{RankOf(*job, wall_now), job});
		}
	}
	std::ranges::stable_sort(order, {}, &RankedJob::rank);
	return order;
}

bool Shard::Due(const ShardJob &job, uint32_t occurrence) const
{
	const int64_t due = job.spec.first_due.Value() + int64_t{occurrence} * job.spec.interval.Value();
	return job.spec.repeats == 0 || this->scheduler.WallNow().Value() >= due;
}

Resources Shard::ReadyDemand(const ShardJob &job) const
{
	Resources sum;
	for (const uint32_t occurrence : std::views::iota(0U, job.spec.Occurrences())) {
		for (uint32_t step = 0; step < job.spec.steps.size() && this->Due(job, occurrence); step++) {
			const StepSpec &spec = job.spec.steps[step];
			const size_t first = job.IndexOf(TaskId{job.spec.id, occurrence, step, 0});
			const auto tasks = job.tasks | std::views::drop(first) | std::views::take(spec.count);
			const auto waiting =
					std::ranges::count_if(tasks, [&](const ShardTask &it) { return Startable(job, spec, it); });
			if (waiting > 0 && this->StepReady(job, occurrence, step)) {
				sum += spec.demand.Times(waiting);
			}
		}
	}
	return sum;
}
