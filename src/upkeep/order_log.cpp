/** @file order_log.cpp Boxes with recent orders. */
#include "order_log.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace {

constexpr std::string_view PREFIX = "turn/"; ///< Before the name of a box in the key of its record.
constexpr const char *UNKNOWN = "-";         ///< Value of a record whose holder goes on giving orders.

std::string KeyOf(const BoxName &box)
{
	return std::string(PREFIX) + box.Value();
}

} // namespace

bool OrderLog::Owns(const std::string &key)
{
	return key.starts_with(PREFIX);
}

void OrderLog::RestoreOrder(const std::string &key, const std::string &value, Millis now)
{
	/* Without a time its holder didn't let go by itself: an order may have left just now. */
	int64_t left = this->gap.Value();
	std::from_chars(value.data(), value.data() + value.size(), left);
	/* The owner's two partitions may both have one: the later end is the safe one. */
	const Millis until = now + std::min(Millis(left), this->gap);
	Turn &turn = this->turns.try_emplace(BoxName(key.substr(PREFIX.size())), Turn{until, true}).first->second;
	turn.until = std::max(turn.until, until);
}

bool OrderLog::MayOrder(const BoxName &box, Millis now) const
{
	const auto it = this->turns.find(box);
	return it == this->turns.end() || !it->second.other || now >= it->second.until;
}

bool OrderLog::HasExpired(Millis now) const
{
	return std::ranges::any_of(this->turns | std::views::values, [now](const Turn &it) { return now >= it.until; });
}

std::vector<KeyedRecord> OrderLog::RecordOrders(const std::set<BoxName> &boxes, Millis now)
{
	std::vector<KeyedRecord> records;
	std::erase_if(this->turns, [&](const auto &it) {
		const bool over = now >= it.second.until && !boxes.contains(it.first);
		if (over) {
			records.push_back(KeyedRecord{KeyOf(it.first), std::nullopt});
		}
		return over;
	});
	for (const BoxName &box : boxes) {
		this->turns[box] = Turn{now + this->gap, false};
		records.push_back(KeyedRecord{KeyOf(box), std::string(UNKNOWN)});
	}
	return records;
}

std::vector<KeyedRecord> OrderLog::Release(Millis now) const
{
	std::vector<KeyedRecord> records;
	for (const auto &[box, turn] : this->turns) {
		const Millis left = turn.until - now;
		records.push_back(
				KeyedRecord{KeyOf(box), left > Millis(0) ? std::optional(std::to_string(left.Value())) : std::nullopt});
	}
	return records;
}
