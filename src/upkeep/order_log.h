/** @file order_log.h Which boxes have had orders a moment ago, as the log tells the next holder of the fleet's orders.
 * Pure. */
#ifndef ORDER_LOG_H
#define ORDER_LOG_H

#include "../store/keyed_log.h"

#include <map>
#include <set>

/**
 * Orders of two holders for one box have to lie apart. So a holder records the boxes before its orders leave, and the
 * next one waits for these alone: 3.4 s without any order passed after each silent holder when it had to wait for all.
 */
class OrderLog {
public:
	/** @param gap Time between the last order of one holder for a box and the first of the next. */
	explicit OrderLog(Millis gap) : gap(gap) {}

	/** @return Whether a record's key is one of these. @param key The key. */
	static bool Owns(const std::string &key);
	/** Takes over a record of the holder before. @param key Its key. @param value Its value. @param now When this
	 * holder has claimed. */
	void RestoreOrder(const std::string &key, const std::string &value, Millis now);
	/** @return Whether a box may have an order of this holder. @param box The box. @param now The time. */
	[[nodiscard]] bool MayOrder(const BoxName &box, Millis now) const;
	/** Notes orders that are about to leave. @param boxes For which boxes. @param now The time.
	 * @return What is to be recorded before: these boxes, and those whose record has had its time. */
	std::vector<KeyedRecord> RecordOrders(const std::set<BoxName> &boxes, Millis now);
	/** Lets go: no order of this holder leaves any more. @param now The time. @return What is to be recorded: for how
	 * long the next holder has to wait for each box. */
	[[nodiscard]] std::vector<KeyedRecord> Release(Millis now) const;
	/** @return Whether records have had their time. @param now The time. */
	[[nodiscard]] bool HasExpired(Millis now) const;

private:
	/** A box with an order. */
	struct Turn {
		Millis until;       ///< From then on another holder may give orders for it.
		bool other = false; ///< Whether it is an earlier holder's.
	};

	Millis gap;                    ///< Time between orders of two holders.
	std::map<BoxName, Turn> turns; ///< Boxes that have a record.
};

#endif /* ORDER_LOG_H */
