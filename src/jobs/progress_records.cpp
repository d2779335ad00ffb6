/** @file progress_records.cpp Progress of a job as records of the keyed log. */
#include "progress_records.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace {

constexpr char TASK_SEPARATOR = '#';   ///< Separates the id of the job from the index of the first task.
constexpr size_t KEY_PREFIX_BYTES = 1; ///< Added to the key in the spare partition.

constexpr size_t TASK_BYTES_MIN = 8; ///< Least size of a task in a record.

/** Tasks of a job by index. */
struct TaskRange {
	size_t first; ///< Index of the first task.
	size_t count; ///< Number of tasks.
};

/** Makes the records of one job. */
class RecordMaker {
public:
	/** @param id Id of the job. @param progress Progress with all tasks; must outlive this. @param record_bytes Largest
	 * encoded record. */
	RecordMaker(const JobId &id, const StoredProgress &progress, size_t record_bytes)
			: id(id), progress(progress), record_bytes(record_bytes)
	{
	}

	/** Adds one record with all tasks, which earlier versions read, too. @return Whether a record can hold them. */
	bool AddWhole()
	{
		KeyedRecord record = this->RecordOf(this->PartOf(TaskRange{0, this->progress.tasks.size()}));
		if (!this->Fits(record)) {
			return false;
		}
		this->out.records.push_back(std::move(record));
		return true;
	}

	/** Adds the records of some tasks: one, or as many as are needed. @param range The tasks. */
	void Add(const TaskRange &range)
	{
		StoredProgress part = this->PartOf(range);
		KeyedRecord record = this->RecordOf(part);
		if (this->Fits(record)) {
			this->out.records.push_back(std::move(record));
			return;
		}
		if (range.count > 1) {
			const size_t half = range.count / 2;
			this->Add(TaskRange{range.first, half});
			this->Add(TaskRange{range.first + half, range.count - half});
			return;
		}
		this->out.checkpoints_left_out++;
		part.tasks.front().saved.clear();
		this->out.records.push_back(this->RecordOf(part));
	}

	ProgressRecords out; ///< The records made so far.

private:
	JobId id;                       ///< Id of the job.
	const StoredProgress &progress; ///< Progress with all tasks.
	size_t record_bytes;            ///< Largest encoded record.

	[[nodiscard]] StoredProgress PartOf(const TaskRange &range) const
	{
		StoredProgress part;
		part.phase = this->progress.phase;
		part.route = this->progress.route;
		part.changed = this->progress.changed;
		part.revision = this->progress.revision;
		part.begun = this->progress.begun;
		part.first_task = range.first;
		part.task_count = this->progress.tasks.size();
		std::ranges::copy(this->progress.tasks | std::views::drop(range.first) | std::views::take(range.count),
						  std::back_inserter(part.tasks));
		return part;
	}

	[[nodiscard]] KeyedRecord RecordOf(const StoredProgress &part) const
	{
		return KeyedRecord{KeyOf(ProgressKey{this->id, part.first_task}), EncodeProgress(part)};
	}

	[[nodiscard]] bool Fits(const KeyedRecord &record) const
	{
		return EncodedSize(record) + KEY_PREFIX_BYTES <= this->record_bytes;
	}
};

} // namespace

std::string KeyOf(const ProgressKey &name)
{
	const std::string key = name.job.Value();
	return name.first_task == 0 ? key : key + TASK_SEPARATOR + std::to_string(name.first_task);
}

ProgressKey ParseProgressKey(std::string_view key)
{
	const size_t mark = key.find(TASK_SEPARATOR);
	ProgressKey name{JobId(key.substr(0, mark))};
	if (mark != std::string_view::npos) {
		std::from_chars(key.data() + mark + 1, key.data() + key.size(), name.first_task);
	}
	return name;
}

ProgressRecords MakeProgressRecords(const JobId &id, const StoredProgress &progress,
									std::span<const StoredTask> recorded, size_t record_bytes)
{
	RecordMaker maker(id, progress, record_bytes);
	const std::span<const StoredTask> tasks(progress.tasks);
	if (tasks.size() * TASK_BYTES_MIN <= record_bytes && maker.AddWhole()) {
		return std::move(maker.out);
	}
	maker.out.divided = true;
	for (size_t first = 0; first == 0 || first < tasks.size(); first += TASKS_PER_RECORD) {
		const size_t count = std::min(TASKS_PER_RECORD, tasks.size() - first);
		const bool unchanged = recorded.size() == tasks.size() &&
							   std::ranges::equal(tasks.subspan(first, count), recorded.subspan(first, count));
		/* The first task's record has the phase and the newest revision. */
		if (first == 0 || !unchanged) {
			maker.Add(TaskRange{first, count});
		}
	}
	return std::move(maker.out);
}

void RestoredProgress::Add(const StoredProgress &record)
{
	const bool first = this->revisions.empty();
	const size_t count = std::max(record.task_count, record.first_task + record.tasks.size());
	if (count > this->revisions.size()) {
		this->progress.tasks.resize(count);
		this->revisions.resize(count);
	}
	for (size_t n = 0; n < record.tasks.size(); n++) {
		const size_t index = record.first_task + n;
		if (!this->revisions[index] || record.revision > *this->revisions[index]) {
			this->progress.tasks[index] = record.tasks[n];
			this->revisions[index] = record.revision;
		}
	}
	if (first || record.revision > this->progress.revision) {
		this->progress.phase = record.phase;
		this->progress.route = record.route;
		this->progress.changed = record.changed;
		this->progress.revision = record.revision;
		this->progress.begun = record.begun;
	}
}
