/** @file turn_log.cpp Boxes with recent orders. */
#include "turn_log.h"

#include <algorithm>

namespace {

constexpr std::string_view PREFIX = "turn/"; ///< Before the name of a box in the key of its record.

std::string KeyOf(const BoxName &box)
{
	return std::string(PREFIX) + box.Value();
}

} // namespace

bool TurnLog::Owns(const std::string &key)
{
	return key.starts_with(PREFIX);
}

void TurnLog::Inherit(const std::string &key, Millis now)
{
	this->turns[BoxName(key.substr(PREFIX.size()))] = Turn{now, true};
}

bool TurnLog::MayOrder(const BoxName &box, Millis now) const
{
	const auto it = this->turns.find(box);
	return it == this->turns.end() || !it->second.other || now - it->second.at >= this->gap;
}

std::vector<KeyedRecord> TurnLog::Note(const std::set<BoxName> &boxes, Millis now)
{
	std::vector<KeyedRecord> records;
	std::erase_if(this->turns, [&](const auto &it) {
		const bool over = now - it.second.at >= this->gap && !boxes.contains(it.first);
		if (over) {
			records.push_back(KeyedRecord{KeyOf(it.first), std::nullopt});
		}
		return over;
	});
	for (const BoxName &box : boxes) {
		this->turns[box] = Turn{now, false};
		records.push_back(KeyedRecord{KeyOf(box), std::string("1")});
	}
	return records;
}
