/** @file order_log.cpp Boxes with recent orders, recorded for the next owner of the fleet. */
#include "order_log.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace {

constexpr std::string_view PREFIX = "turn/"; ///< Prefix of a record's key, before the name of the box.
constexpr const char *NO_END_TIME = "-";     ///< Value of a record until its owner releases the fleet.

/** @return Key of a box's record. @param box Name of the box. */
std::string KeyOf(const BoxName &box)
{
	return std::string(PREFIX) + box.Value();
}

} // namespace

bool OrderLog::IsOrderKey(const std::string &key)
{
	return key.starts_with(PREFIX);
}

void OrderLog::RestoreOrder(const std::string &key, const std::string &value, Millis now)
{
	/* A value without a time means that the owner didn't release the fleet: its last order may be recent. */
	int64_t left = this->gap.Value();
	std::from_chars(value.data(), value.data() + value.size(), left);
	/* The main and the spare partition may both have a record of the box: the later time is the safe one. */
	const Millis until = now + std::min(Millis(left), this->gap);
	LastOrder &order =
			this->last_orders.try_emplace(BoxName(key.substr(PREFIX.size())), LastOrder{until, true}).first->second;
	order.until = std::max(order.until, until);
}

bool OrderLog::MayOrder(const BoxName &box, Millis now) const
{
	const auto it = this->last_orders.find(box);
	return it == this->last_orders.end() || !it->second.by_previous_owner || now >= it->second.until;
}

bool OrderLog::HasExpired(Millis now) const
{
	return std::ranges::any_of(this->last_orders | std::views::values,
							   [now](const LastOrder &it) { return now >= it.until; });
}

std::vector<KeyedRecord> OrderLog::RecordOrders(const std::set<BoxName> &boxes, Millis now)
{
	std::vector<KeyedRecord> records;
	std::erase_if(this->last_orders, [&](const auto &it) {
		const bool expired = now >= it.second.until && !boxes.contains(it.first);
		if (expired) {
			records.push_back(KeyedRecord{KeyOf(it.first), std::nullopt});
		}
		return expired;
	});
	for (const BoxName &box : boxes) {
		this->last_orders[box] = LastOrder{now + this->gap, false};
		records.push_back(KeyedRecord{KeyOf(box), std::string(NO_END_TIME)});
	}
	return records;
}

std::vector<KeyedRecord> OrderLog::Release(Millis now) const
{
	std::vector<KeyedRecord> records;
	for (const auto &[box, order] : this->last_orders) {
		const Millis left = order.until - now;
		records.push_back(
				KeyedRecord{KeyOf(box), left > Millis(0) ? std::optional(std::to_string(left.Value())) : std::nullopt});
	}
	return records;
}
