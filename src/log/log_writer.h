/** @file log_writer.h Group commit: appends proposals in one record per tick, repeats appends with lost answers. */
#ifndef LOG_WRITER_H
#define LOG_WRITER_H

#include "../scheduler_type.h"
#include "log_service.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

/** Order in which proposals go into batches when the append rate is limited. */
enum class WritePriority : uint8_t {
	WP_CONFIG = 0, ///< Configuration, membership, terms.
	WP_BOX = 1,    ///< Permits and steps of boxes.
	WP_JOB = 2,    ///< Job records.
	WP_BULK = 3,   ///< Snapshots and statistics.
};

/** Intervals and batch limits of a writer. */
struct WriterSettings {
	Millis tick = Millis(50);        ///< Minimum interval between two appends.
	Millis retry = Millis(200);      ///< First delay after a failed append; doubles up to `retry_max`.
	Millis retry_max = Millis(5000); ///< Maximum delay after a failed append.
	size_t batch_bytes = 64 * 1024;  ///< Maximum size of a batch; a single larger proposal is sent alone.
	size_t batch_proposals = 256;    ///< Maximum number of proposals in a batch.
};

/** Counters of a writer. */
struct WriterCounters {
	uint64_t appends = 0;   ///< Appends sent.
	uint64_t bytes = 0;     ///< Bytes in these appends.
	uint64_t repeats = 0;   ///< Appends repeated after a lost answer or a failure.
	uint64_t proposals = 0; ///< Proposals decided.
};

/**
 * Appends the proposals of one process. Only one append is in flight at a time, so the proposals take effect in order.
 * A batch is sent again with the same ids until all its proposals are decided, that is, until the records with them
 * were read back and applied. Duplicates are recognised by their ids then.
 */
class LogWriter {
public:
	using Done = std::function<void(const Decision &)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The platform's log.
	 * @param writer Name of this process.
	 * @param incarnation Incarnation of this process.
	 * @param settings Intervals and batch limits.
	 */
	LogWriter(Scheduler &scheduler, LogService &log, std::string writer, Incarnation incarnation,
			  WriterSettings settings = {});
	~LogWriter();
	LogWriter(const LogWriter &) = delete;
	LogWriter &operator=(const LogWriter &) = delete;

	/**
	 * Queues a proposal.
	 * @param proposal The proposal; the writer numbers it when it goes into a batch.
	 * @param priority Priority of the proposal.
	 * @param done Called with the decision; may be empty.
	 * @return Id of the proposal; the sequence is 0 until it goes into a batch.
	 */
	std::shared_ptr<const ProposalId> Submit(std::unique_ptr<glade::wire::ProposalT> proposal, WritePriority priority,
											 Done done = {});

	/**
	 * Removes a proposal that has not gone into a batch yet.
	 * @param id Id returned by Submit().
	 * @return Whether it was removed; it takes no effect then.
	 */
	bool Withdraw(const std::shared_ptr<const ProposalId> &id);

	/**
	 * Sets the region and term in which this process plans.
	 * @param region The region, empty when this process does not plan.
	 * @param term The term.
	 */
	void SetTerm(RegionName region, Term term);

	/**
	 * Handles the decisions of an applied record. To be called for every record.
	 * @param decisions Decisions of a record; those of other writers are ignored.
	 */
	void OnDecisions(const std::vector<Decision> &decisions);

	/**
	 * @param version Rule version of the next batches.
	 */
	void SetRuleVersion(uint32_t version) { this->rule_version = version; }

	/** @return Number of proposals not decided yet. */
	[[nodiscard]] size_t Backlog() const;

	/** @return Counters. */
	[[nodiscard]] const WriterCounters &Counters() const { return this->counters; }

private:
	/** A proposal that has not gone into a batch yet. */
	struct QueuedProposal {
		std::unique_ptr<glade::wire::ProposalT> proposal; ///< The proposal.
		Done done;                                        ///< Called with the decision.
		std::shared_ptr<ProposalId> id;                   ///< Id from Submit(); the batch sets its sequence.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	LogService &log;                                            ///< The platform's log.
	std::string writer;                                         ///< Name of this process.
	Incarnation incarnation;                                    ///< Incarnation of this process.
	WriterSettings settings;                                    ///< Intervals and batch limits.
	RegionName region;                                          ///< Region that this process plans, empty for none.
	Term term;                                                  ///< Term in which this process plans.
	uint32_t rule_version = 1;                                  ///< Rule version of the next batches.
	std::map<WritePriority, std::deque<QueuedProposal>> queues; ///< Proposals not in a batch yet, by priority.
	std::map<uint64_t, Done> in_flight;                         ///< Undecided proposals of the batch, by sequence.
	std::string batch;                                          ///< Bytes of the current batch.
	uint64_t sequence = 0;                                      ///< Last sequence number assigned.
	Millis last_append = Millis(-MS_PER_DAY);                   ///< Time of the last append.
	Millis retry_delay;                                         ///< Delay after the next failure.
	TimerId timer;                                              ///< Next tick or retry.
	uint64_t batch_id = 0;       ///< Number of the batch; answers to earlier ones are ignored.
	std::shared_ptr<bool> alive; ///< Set to false by the destructor, for callbacks that come later.
	WriterCounters counters;     ///< Counters.

	void ScheduleBatch();
	void StartBatch();
	void FillBatch(BatchT &new_batch);
	void Send();
	void OnAnswer(uint64_t answered_id, const AppendAnswer &answer);
	void Retry();
};

#endif /* LOG_WRITER_H */
