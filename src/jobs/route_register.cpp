/** @file route_register.cpp Registration of shards for routes in the keyed log. */
#include "route_register.h"

#include "route_codec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace {

const PartitionId REGISTER_PARTITION{"keyed.routes", 0}; ///< Partition that holds the registrations of all shards.
constexpr Millis APPEND_TIMEOUT(2600);                   ///< The log refuses appends that would wait for over 2 s.

} // namespace

void RouteRegister::Register(const std::map<RouteName, uint64_t> &routes, Done done)
{
	this->routes = routes;
	this->found.clear();
	this->done = std::move(done);
	std::vector<KeyedRecord> records;
	std::ranges::transform(routes, std::back_inserter(records), [this](const auto &it) {
		const RouteRegistration registration{it.first, this->service, it.second};
		return KeyedRecord{KeyOf(registration), EncodeRegistration(registration)};
	});
	this->log.Append(REGISTER_PARTITION, records, AppendCondition{}, APPEND_TIMEOUT,
					 [this, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
						 if (still.expired()) {
							 return;
						 }
						 if (answer.code == ResultCode::RC_OK) {
							 this->ReadPage(this->routes.begin()->first.Value());
						 } else {
							 this->Finish(answer.code);
						 }
					 });
}

void RouteRegister::ReadPage(const std::string &after)
{
	this->log.Newest(REGISTER_PARTITION, after,
					 [this, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnPage(page);
						 }
					 });
}

void RouteRegister::OnPage(const NewestPage &page)
{
	if (page.code != ResultCode::RC_OK) {
		this->Finish(page.code);
		return;
	}
	bool past_last = false;
	for (const KeyedRecord &it : page.records) {
		const auto registration = DecodeRegistration(it.value.value_or(std::string()));
		if (registration && this->routes.contains(registration->route)) {
			this->found.push_back(*registration);
		}
		past_last = past_last || (registration && registration->route > this->routes.rbegin()->first);
	}
	if (page.more && !past_last && !page.records.empty()) {
		this->ReadPage(page.records.back().key);
	} else {
		this->Finish(ResultCode::RC_OK);
	}
}

void RouteRegister::Finish(ResultCode code)
{
	const Done done = std::exchange(this->done, nullptr);
	done(code, std::exchange(this->found, {}));
}
