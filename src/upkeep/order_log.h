/** @file order_log.h Boxes with recent orders, recorded for the next owner of the fleet. No I/O. */
#ifndef ORDER_LOG_H
#define ORDER_LOG_H

#include "../store/keyed_log.h"

#include <map>
#include <set>

/**
 * Keeps a minimum time between the orders of two fleet owners for one box. An owner records the boxes before it sends
 * their orders, and the next owner waits for these boxes only. When the next owner waited for all boxes, no
 * order was given for 3.4 s after an owner that disappeared without releasing the fleet.
 */
class OrderLog {
public:
	/** @param gap Minimum time from the call of RecordOrders() for a box to the next owner's first order for it. */
	explicit OrderLog(Millis gap) : gap(gap) {}

	/** @return Whether a record belongs to this class. @param key Key of the record. */
	static bool IsOrderKey(const std::string &key);
	/** Restores a record of the previous owner. @param key The record's key. @param value The record's value. @param
	 * now When this owner claimed the fleet. */
	void RestoreOrder(const std::string &key, const std::string &value, Millis now);
	/** @return Whether this owner may give an order for a box. @param box Name of the box. @param now Current time. */
	[[nodiscard]] bool MayOrder(const BoxName &box, Millis now) const;
	/** Registers orders that are about to be sent. @param boxes Boxes of the orders; may be empty. @param now Current
	 * time. @return Records to write before the orders are sent: one for each box, and the removal of expired ones. */
	std::vector<KeyedRecord> RecordOrders(const std::set<BoxName> &boxes, Millis now);
	/** Ends this owner's orders: it sends none after this call. @param now Current time. @return Records to write: how
	 * many ms the next owner has to wait for each box; expired ones are removed. */
	[[nodiscard]] std::vector<KeyedRecord> Release(Millis now) const;
	/** @return Whether any record has expired, so that RecordOrders() would remove it. @param now Current time. */
	[[nodiscard]] bool HasExpired(Millis now) const;

private:
	/** The last order for a box. */
	struct LastOrder {
		Millis until;                   ///< From this time on another owner may give orders for the box.
		bool by_previous_owner = false; ///< Whether the previous owner gave the order.
	};

	Millis gap;                               ///< Minimum time between orders of two owners.
	std::map<BoxName, LastOrder> last_orders; ///< Last orders by box, for boxes that have a record.
};

#endif /* ORDER_LOG_H */
