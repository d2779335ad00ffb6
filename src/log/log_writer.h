/** @file log_writer.h Group commit: gathers proposals, appends them in one record a tick, repeats lost answers. */
#ifndef LOG_WRITER_H
#define LOG_WRITER_H

#include "../scheduler_type.h"
#include "log_service.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

/** What goes first when the append budget is short. */
enum class WritePriority : uint8_t {
	WP_CONFIG = 0, ///< Configuration, membership, terms.
	WP_BOX = 1,    ///< Permits and steps of boxes.
	WP_JOB = 2,    ///< Job records.
	WP_BULK = 3,   ///< Snapshots and statistics.
};

/** How a writer paces itself. */
struct WriterPace {
	Millis tick = Millis(50);        ///< Shortest time between two appends.
	Millis retry = Millis(200);      ///< First wait after a failed append; doubles up to `retry_max`.
	Millis retry_max = Millis(5000); ///< Longest wait after a failed append.
	size_t batch_bytes = 64 * 1024;  ///< Largest batch, but for a single proposal that is larger.
	size_t batch_proposals = 256;    ///< Most proposals in a batch.
};

/** Counters of a writer. */
struct WriterCounters {
	uint64_t appends = 0;   ///< Appends sent.
	uint64_t bytes = 0;     ///< Bytes in them.
	uint64_t repeats = 0;   ///< Appends sent again after a lost answer or a failure.
	uint64_t proposals = 0; ///< Proposals decided.
};

/**
 * Appends the proposals of one process. One append is in flight at a time, so its proposals take effect in order; an
 * append without an answer is sent again with the same ids until the fold has decided them, and the fold drops the
 * second. A proposal leaves the writer only when the fold has decided it.
 */
class LogWriter {
public:
	using Done = std::function<void(const Decision &)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The platform's log.
	 * @param writer Name of this process.
	 * @param incarnation Its start.
	 * @param pace Ticks and sizes.
	 */
	LogWriter(Scheduler &scheduler, LogService &log, std::string writer, Incarnation incarnation, WriterPace pace = {});
	~LogWriter();
	LogWriter(const LogWriter &) = delete;
	LogWriter &operator=(const LogWriter &) = delete;

	/**
	 * Takes a proposal in.
	 * @param proposal The proposal; the writer numbers it when it goes into a batch.
	 * @param priority What goes first.
	 * @param done Gets the fold's decision; may be empty.
	 * @return Its id; the sequence is 0 until the proposal goes into a batch.
	 */
	std::shared_ptr<const ProposalId> Submit(std::unique_ptr<glade::wire::ProposalT> proposal, WritePriority priority,
											 Done done = {});

	/**
	 * Takes a proposal back that has not gone into a batch yet.
	 * @param id What Submit() returned.
	 * @return Whether it was taken back: then it certainly takes no effect.
	 */
	bool Withdraw(const std::shared_ptr<const ProposalId> &id);

	/**
	 * Names the region and term under which this process plans; empty when it does not.
	 * @param region The region.
	 * @param term The term.
	 */
	void SetTerm(RegionName region, Term term);

	/**
	 * Tells the writer what the fold decided; every folded record is passed through here.
	 * @param decisions Decisions of a record; those of other writers are ignored.
	 */
	void OnDecisions(const std::vector<Decision> &decisions);

	/**
	 * @param version Rules under which the next batches are written.
	 */
	void SetRuleVersion(uint32_t version) { this->rule_version = version; }

	/** @return Proposals not decided yet. */
	[[nodiscard]] size_t Backlog() const;

	/** @return Counters. */
	[[nodiscard]] const WriterCounters &Counters() const { return this->counters; }

private:
	/** A proposal waiting for its turn. */
	struct Waiting {
		std::unique_ptr<glade::wire::ProposalT> proposal; ///< The proposal.
		Done done;                                        ///< Who wants to know.
		std::shared_ptr<ProposalId> id;                   ///< Gets the sequence.
	};

	Scheduler &scheduler;                                 ///< Clock and timers.
	LogService &log;                                      ///< The platform's log.
	std::string writer;                                   ///< Name of this process.
	Incarnation incarnation;                              ///< Its start.
	WriterPace pace;                                      ///< Ticks and sizes.
	RegionName region;                                    ///< Region planned, if any.
	Term term;                                            ///< Term of planning.
	uint32_t rule_version = 1;                            ///< Rules of the next batches.
	std::map<WritePriority, std::deque<Waiting>> waiting; ///< By priority.
	std::map<uint64_t, Done> in_flight;                   ///< Proposals of the current batch, by sequence.
	std::string batch;                                    ///< Bytes of the current batch.
	uint64_t sequence = 0;                                ///< Last number given.
	Millis last_append = Millis(-MS_PER_DAY);             ///< When the last append was sent.
	Millis wait;                                          ///< Wait after the next failure.
	TimerId timer;                                        ///< Next tick or retry.
	uint64_t round = 0;                                   ///< Counts batches: answers of older ones are ignored.
	std::shared_ptr<bool> alive;                          ///< False once this is gone.
	WriterCounters counters;                              ///< Counters.

	void Plan();
	void StartBatch();
	void Fill(BatchT &it);
	void Send();
	void OnAnswer(uint64_t of_round, const AppendAnswer &answer);
	void Retry();
};

#endif /* LOG_WRITER_H */
