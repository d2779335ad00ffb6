/** @file job_codec.cpp Encoding of the records that a shard keeps in the keyed log. */
#include "job_codec.h"

#include "../store/record_codec.h"

#include <algorithm>
#include <map>

namespace wire = glade::shard;

namespace {

std::unique_ptr<wire::StepRecordT> StepToWire(const StepSpec &step)
{
	auto out = std::make_unique<wire::StepRecordT>();
	out->count = step.count;
	out->cpu = static_cast<uint32_t>(step.demand.cpu);
	out->memory = static_cast<uint32_t>(step.demand.memory);
	out->accelerators = static_cast<uint32_t>(step.demand.accelerators);
	out->estimate_ms = static_cast<uint32_t>(step.estimate.Value());
	out->after = step.after;
	out->gang = step.gang;
	out->one_rack = step.one_rack;
	out->required_label = step.required_label;
	out->data_rack = step.data_rack;
	out->per_box = step.per_box;
	out->checkpoints = step.checkpoints;
	out->copies = step.copies;
	out->lasting = step.lasting;
	out->image = step.image;
	out->latency_limit_ms = static_cast<uint32_t>(step.latency_limit.Value());
	out->filler = step.filler;
	/* 0 stands for no limit, so the stored number is one higher. */
	out->absent_max = step.absent_max ? *step.absent_max + 1 : 0;
	return out;
}

StepSpec StepFromWire(const wire::StepRecordT &in)
{
	StepSpec step;
	step.count = in.count;
	step.demand = Resources{in.cpu, in.memory, in.accelerators};
	step.estimate = Millis(in.estimate_ms);
	step.after = in.after;
	step.gang = in.gang;
	step.one_rack = in.one_rack;
	step.required_label = in.required_label;
	step.data_rack = in.data_rack;
	step.per_box = in.per_box;
	step.checkpoints = in.checkpoints;
	step.copies = in.copies;
	step.lasting = in.lasting;
	step.image = in.image;
	step.latency_limit = Millis(in.latency_limit_ms);
	step.filler = in.filler;
	if (in.absent_max > 0) {
		step.absent_max = in.absent_max - 1;
	}
	return step;
}

/** @return Whether a shard can take a job: it has an id and tasks, not too many, and its steps wait for earlier ones
 * only. */
bool IsValid(const JobSpec &spec)
{
	uint64_t tasks = 0;
	for (size_t n = 0; n < spec.steps.size(); n++) {
		const StepSpec &step = spec.steps[n];
		tasks += step.count;
		const bool ordered = std::ranges::all_of(step.after, [n](uint32_t it) { return it < n; });
		if (step.count == 0 || !ordered || tasks > STORED_TASKS_MAX) {
			return false;
		}
	}
	return !spec.id.Empty() && tasks > 0 && tasks * spec.Occurrences() <= STORED_TASKS_MAX;
}

/** @return Whether the stored state of a task shows that a box has started a run of it. @param task The task. */
bool ShowsRun(const StoredTask &task)
{
	return task.phase == TaskPhase::TP_DONE || task.failures > 0 || task.crashes > 0 || !task.saved.empty() ||
		   task.gave_way || task.run_age != RunAge::RA_NEW;
}

constexpr char CANCEL_PREFIX = 'x';     ///< Prefix of the key of a cancellation, before the id of the job.
constexpr char ACCOUNT_SEPARATOR = '/'; ///< Separates the id of the job from the account.

} // namespace

std::unique_ptr<wire::PolicyRecordT> PolicyToWire(const VersionedPolicy &policy)
{
	auto out = std::make_unique<wire::PolicyRecordT>();
	out->config = policy.config;
	out->priority = policy.policy.priority;
	out->failures_max = policy.policy.failures_max;
	out->stretch = policy.policy.stretch;
	out->headroom_ms = policy.policy.headroom.Value();
	out->needs_ticket = policy.policy.needs_ticket;
	return out;
}

VersionedPolicy PolicyFromWire(const wire::PolicyRecordT &in)
{
	return VersionedPolicy{
			in.config, RoutePolicy{in.priority, in.failures_max, in.stretch, Millis(in.headroom_ms), in.needs_ticket}};
}

std::string KeyOf(const InboxKey &name)
{
	std::string key = name.is_cancellation ? std::string(1, CANCEL_PREFIX) : std::string();
	key += name.job.Value();
	return name.account.Value().empty() ? key : key + ACCOUNT_SEPARATOR + name.account.Value();
}

InboxKey ParseInboxKey(std::string_view key)
{
	InboxKey name;
	name.is_cancellation = key.starts_with(CANCEL_PREFIX);
	key.remove_prefix(name.is_cancellation ? 1 : 0);
	const size_t mark = key.find(ACCOUNT_SEPARATOR);
	name.job = JobId(key.substr(0, mark));
	name.account = AccountName(mark == std::string_view::npos ? std::string() : std::string(key.substr(mark + 1)));
	return name;
}

std::string EncodeSubmission(const JobSpec &spec)
{
	wire::SubmissionRecordT out;
	out.format = RECORD_FORMAT;
	out.route = spec.route.Value();
	out.payload = spec.payload;
	std::ranges::transform(spec.steps, std::back_inserter(out.steps), StepToWire);
	out.first_due = spec.first_due.Value();
	out.interval = spec.interval.Value();
	out.repeats = spec.repeats;
	out.begun = spec.requested_at.Value();
	out.account = spec.account.Value();
	out.config = spec.config;
	if (spec.policy) {
		out.policy = PolicyToWire(VersionedPolicy{spec.config, *spec.policy});
	}
	return PackRecord<wire::SubmissionRecord>(out);
}

std::optional<JobSpec> DecodeSubmission(const JobId &id, std::string_view bytes)
{
	const auto in = UnpackRecord<wire::SubmissionRecord>(bytes);
	if (!in) {
		return std::nullopt;
	}
	JobSpec spec;
	spec.id = id;
	spec.route = RouteName(in->route);
	spec.payload = in->payload;
	std::ranges::transform(in->steps, std::back_inserter(spec.steps), [](const auto &it) { return StepFromWire(*it); });
	spec.first_due = Millis(in->first_due);
	spec.interval = Millis(in->interval);
	spec.repeats = in->repeats;
	spec.requested_at = Millis(in->begun);
	spec.account = AccountName(in->account);
	spec.config = in->config;
	if (in->policy) {
		spec.policy = PolicyFromWire(*in->policy).policy;
	}
	return IsValid(spec) ? std::optional(std::move(spec)) : std::nullopt;
}

bool StoredProgress::HasBegun() const
{
	return this->begun ? *this->begun : std::ranges::any_of(this->tasks, ShowsRun);
}

std::string EncodeProgress(const StoredProgress &progress)
{
	wire::ProgressRecordT out;
	out.format = RECORD_FORMAT;
	out.phase = static_cast<uint8_t>(progress.phase);
	out.route = progress.route.Value();
	out.changed = progress.changed.Value();
	out.revision = progress.revision;
	out.first_task = static_cast<uint32_t>(progress.first_task);
	out.task_count = static_cast<uint32_t>(progress.task_count);
	if (progress.begun) {
		out.begun = *progress.begun;
	}
	std::map<BoxIncarnation, uint16_t> places;
	for (const StoredTask &task : progress.tasks) {
		auto row = std::make_unique<wire::TaskRecordT>();
		row->phase = static_cast<uint8_t>(task.phase);
		row->run = task.run.Value();
		row->failures = task.failures;
		row->saved = task.saved;
		row->leaving = task.leaving;
		row->crashes = task.crashes;
		row->crashes_possible = task.crashes_possible;
		row->gave_way = task.gave_way;
		row->loss_counted = task.loss_counted;
		row->run_age = static_cast<uint8_t>(task.run_age);
		if (!task.box.id.Value().empty()) {
			const auto [it, added] = places.emplace(task.box, static_cast<uint16_t>(places.size() + 1));
			row->box = it->second;
			if (added) {
				out.boxes.push_back(task.box.id.Value());
				out.started.push_back(task.box.started.Value());
				out.box_names.push_back(task.box_name.Value());
			}
		}
		out.tasks.push_back(std::move(row));
	}
	return PackRecord<wire::ProgressRecord>(out);
}

std::optional<StoredProgress> DecodeProgress(std::string_view bytes)
{
	const auto in = UnpackRecord<wire::ProgressRecord>(bytes);
	if (!in || in->phase > static_cast<uint8_t>(JobPhase::JP_CANCELLED) || in->task_count > STORED_TASKS_MAX ||
		in->first_task + in->tasks.size() > STORED_TASKS_MAX) {
		return std::nullopt;
	}
	StoredProgress progress;
	progress.phase = static_cast<JobPhase>(in->phase);
	progress.route = RouteName(in->route);
	progress.changed = Millis(in->changed);
	progress.revision = in->revision;
	progress.first_task = in->first_task;
	progress.task_count = in->task_count;
	if (in->begun) {
		progress.begun = *in->begun;
	}
	for (const auto &row : in->tasks) {
		if (row->box > in->boxes.size() || row->phase > static_cast<uint8_t>(TaskPhase::TP_DONE)) {
			return std::nullopt;
		}
		StoredTask task;
		task.phase = static_cast<TaskPhase>(row->phase);
		task.run = RunNumber(row->run);
		task.failures = row->failures;
		task.saved = row->saved;
		task.leaving = row->leaving;
		task.crashes = row->crashes;
		task.crashes_possible = row->crashes_possible;
		task.gave_way = row->gave_way;
		task.loss_counted = row->loss_counted;
		task.run_age = static_cast<RunAge>(std::min(row->run_age, static_cast<uint8_t>(RunAge::RA_SETTLED)));
		if (row->box > 0) {
			const size_t place = row->box - 1U;
			/* Earlier versions record no start time: such an incarnation counts as older than any with a start time. */
			task.box = BoxIncarnation{BoxId(in->boxes[place]),
									  Millis(place < in->started.size() ? in->started[place] : 0)};
			task.box_name = BoxName(place < in->box_names.size() ? in->box_names[place] : std::string());
		}
		progress.tasks.push_back(std::move(task));
	}
	return progress;
}
