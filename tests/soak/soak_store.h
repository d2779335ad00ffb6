/** @file soak_store.h Serves the platform's keyed log over HTTP, with the simulated log of the unit tests, KeyedStore.
 */
#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "soak_http.h"
#include "standin/memory/keyed_store.h"

#include <set>

/** Faults of calls to the store. */
struct SoakStoreFaults {
	bool unavailable = false;                ///< Answers every call with 503; executes none.
	int lose_percent = 0;                    ///< Percentage of appends executed, then disconnected without an answer.
	bool late = false;                       ///< Whether appends with a lost answer are executed LATE_DELAY later.
	std::set<PartitionId> silent_partitions; ///< Partitions whose calls get no answer and are not executed.
	Millis added_latency;                    ///< Added to the time of each answer.
};

/** Server of the store. */
class SoakStore {
public:
	/** @param scheduler Event loop. @param parts Partitions of each topic. @param seed Seed for the choice of lost
	 * appends. */
	SoakStore(QtScheduler &scheduler, uint32_t parts, uint32_t seed);

	/** Opens the port. @return Whether it listens. */
	bool Start() { return this->listener.Listen(); }
	/** @return The listening port. */
	[[nodiscard]] quint16 Port() const { return this->listener.Port(); }

	KeyedStore store;       ///< State of the store.
	SoakStoreFaults faults; ///< Active faults.

private:
	QtScheduler &scheduler; ///< Event loop.
	uint32_t random;        ///< State of the generator that chooses lost appends.
	SoakListener listener;  ///< Accepts calls.

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
