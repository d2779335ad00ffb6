/** @file job_memory.cpp Decides whether this process has memory for another job. */
#include "job_memory.h"

#include "shard_type.h"

namespace {

constexpr Millis MEASURE_INTERVAL(50);  ///< Least time between two measurements.
constexpr Millis RECENT_FOR(2000);      ///< Time after which the memory of an admitted job is in use.
constexpr Millis RETURN_INTERVAL(1000); ///< Least time between two returns of free blocks, which take some ms.
constexpr uint64_t INDEX_BYTES = 96;    ///< Entry of a task in the sets of its box.
/** Copies of a step: beside the job's own, those of its submission until that is recorded, also in decoded form. */
constexpr uint64_t STEP_COPIES = 4;
constexpr uint64_t JOB_BYTES = 1024; ///< What a job takes beside its tasks and steps.

} // namespace

uint64_t EstimateBytes(const JobSpec &spec)
{
	uint64_t tasks = 0;
	uint64_t bytes = JOB_BYTES + spec.payload.size();
	for (const StepSpec &step : spec.steps) {
		tasks += step.count;
		bytes += STEP_COPIES * (sizeof(StepSpec) + step.after.size() * sizeof(uint32_t));
	}
	return bytes + tasks * spec.Occurrences() * (sizeof(ShardTask) + sizeof(StoredTask) + INDEX_BYTES);
}

void JobMemory::Measure()
{
	const Millis now = this->scheduler.Now();
	this->measured_at = now;
	this->measured_bytes = this->source.UsedBytes().value_or(0);
	while (!this->recent.empty() && now - this->recent.front().at >= RECENT_FOR) {
		this->recent_bytes -= this->recent.front().bytes;
		this->recent.pop_front();
	}
}

bool JobMemory::Admit(const JobSpec &spec)
{
	const Millis now = this->scheduler.Now();
	const uint64_t bytes = EstimateBytes(spec);
	if (now - this->measured_at >= MEASURE_INTERVAL) {
		this->Measure();
	}
	if (!this->Fits(bytes) && now - this->returned_at >= RETURN_INTERVAL) {
		this->returned_at = now;
		this->source.ReturnFree();
		this->Measure();
	}
	if (!this->Fits(bytes)) {
		this->refused++;
		this->events.Write("job_memory_full", {{"job", spec.id.Value()},
											   {"bytes", std::to_string(bytes)},
											   {"used", std::to_string(this->measured_bytes)},
											   {"recent", std::to_string(this->recent_bytes)},
											   {"max", std::to_string(this->bytes_max)}});
		return false;
	}
	this->recent.push_back(Admitted{now, bytes});
	this->recent_bytes += bytes;
	return true;
}
