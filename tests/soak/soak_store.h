/** @file soak_store.h The platform's keyed log over HTTP: the state machine is the one of the tests in memory. */
#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "soak_http.h"
#include "standin/memory/keyed_store.h"

#include <set>

/** What goes wrong with calls to the store. */
struct SoakStoreFaults {
	bool unavailable = false; ///< Every call gets 503; nothing is done.
	int lose_percent = 0;     ///< So many of 100 appends are done, and their connection is cut without an answer.
	bool late = false;        ///< Those are done 2.5 s later instead of at once.
	std::set<PartitionId> silent_partitions; ///< Calls to these partitions get no answer; nothing is done.
	Millis added_latency;                    ///< Answers take so much longer.
};

/** The store's server. */
class SoakStore {
public:
	/** @param scheduler Clock. @param parts Partitions of a topic. @param seed For which appends are lost. */
	SoakStore(QtScheduler &scheduler, uint32_t parts, uint32_t seed);

	/** @return Whether it listens. */
	bool Start() { return this->listener.Listen(); }
	/** @return Its port. */
	[[nodiscard]] quint16 Port() const { return this->listener.Port(); }

	KeyedStore store;       ///< The state.
	SoakStoreFaults faults; ///< Faults in force.

private:
	QtScheduler &scheduler; ///< Clock.
	uint32_t random;        ///< State of the choice which appends are lost.
	SoakListener listener;  ///< Its port.

	void Serve(const DeferredAnswerPtr &answer, const CallerRequest &request);
	void Append(const DeferredAnswerPtr &answer, const CallerRequest &request);
	void Read(const DeferredAnswerPtr &answer, const PartitionId &partition, uint64_t from, Millis until);
	void Newest(const DeferredAnswerPtr &answer, const QUrlQuery &query);
	void Join(const DeferredAnswerPtr &answer, const QJsonObject &json);
	void Owners(const DeferredAnswerPtr &answer, const std::string &group);
	void Reply(const DeferredAnswerPtr &answer, int status, const std::string &body);
	bool Chance(int percent);
};

#endif /* SOAK_STORE_H */
