/** @file shard_waits.cpp Shard: why long-running tasks are without a run, for logs and metrics. */
#include "shard_base.h"

void Shard::LogTask(const ShardJob &job, const TaskId &id, const char *event, std::initializer_list<EventField> fields)
{
	if (job.spec.steps[id.step].lasting) {
		this->log.WriteLasting(event, fields);
	} else {
		this->log.Write(event, fields);
	}
}
