/** @file order_log.h Boxes with recent orders, recorded for the next holder of the fleet. No I/O. */
#ifndef ORDER_LOG_H
#define ORDER_LOG_H

#include "../store/keyed_log.h"

#include <map>
#include <set>

/**
 * Keeps a minimum time between the orders of two holders for one box. A holder records the boxes before it sends their
 * orders, and the next holder waits for these boxes only. When it had to wait for all boxes, no order was given for
 * 3.4 s after each holder that disappeared without releasing the fleet.
 */
class OrderLog {
public:
	/** @param gap Minimum time between the last order of one holder for a box and the first of the next holder. */
	explicit OrderLog(Millis gap) : gap(gap) {}

	/** @return Whether a key belongs to a record of this class. @param key The key. */
	static bool Owns(const std::string &key);
	/** Restores a record of the previous holder. @param key The record's key. @param value The record's value. @param
	 * now When this holder has claimed the fleet. */
	void RestoreOrder(const std::string &key, const std::string &value, Millis now);
	/** @return Whether this holder may give an order for a box. @param box The box. @param now The time. */
	[[nodiscard]] bool MayOrder(const BoxName &box, Millis now) const;
	/** Registers orders that are about to be sent. @param boxes Boxes of the orders. @param now The time.
	 * @return Records to write before the orders are sent: these boxes, and the removal of expired ones. */
	std::vector<KeyedRecord> RecordOrders(const std::set<BoxName> &boxes, Millis now);
	/** Ends this holder's orders: it sends none after this call. @param now The time. @return Records to write: how
	 * many ms the next holder has to wait for each box; expired ones are removed. */
	[[nodiscard]] std::vector<KeyedRecord> Release(Millis now) const;
	/** @return Whether any record has expired. @param now The time. */
	[[nodiscard]] bool HasExpired(Millis now) const;

private:
	/** The last order for a box. */
	struct LastOrder {
		Millis until;                    ///< From this time on another holder may give orders for the box.
		bool by_previous_holder = false; ///< Whether a previous holder gave the order.
	};

	Millis gap;                               ///< Minimum time between orders of two holders.
	std::map<BoxName, LastOrder> last_orders; ///< Last orders by box, for boxes that have a record.
};

#endif /* ORDER_LOG_H */
