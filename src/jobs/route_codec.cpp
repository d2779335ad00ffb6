/** @file route_codec.cpp Encodes the records about routes that shards keep in the keyed log. */
#include "route_codec.h"

#include "../store/record_codec.h"
#include "job_codec.h"

#include <algorithm>
#include <iterator>

namespace wire = glade::shard;

namespace {

constexpr char KEY_SEPARATOR = '\n'; ///< Separates the route from the service in the key of a registration.

} // namespace

std::string EncodeRoute(const RouteState &state)
{
	wire::RouteRecordT out;
	out.format = RECORD_FORMAT;
	out.revision = state.revision;
	out.registered = state.registered;
	out.redirected = state.redirected;
	out.redirect_to = state.redirect_to.Value();
	std::ranges::transform(state.other_shards, std::back_inserter(out.other_shards),
						   [](const ServiceName &it) { return it.Value(); });
	if (state.policy) {
		out.policy = PolicyToWire(*state.policy);
	}
	return PackRecord<wire::RouteRecord>(out);
}

std::optional<RouteState> DecodeRoute(std::string_view bytes)
{
	const auto in = UnpackRecord<wire::RouteRecord>(bytes);
	if (!in) {
		return std::nullopt;
	}
	RouteState state;
	state.revision = in->revision;
	state.registered = in->registered;
	state.redirected = in->redirected;
	state.redirect_to = ServiceName(in->redirect_to);
	std::ranges::transform(in->other_shards, std::inserter(state.other_shards, state.other_shards.end()),
						   [](const std::string &it) { return ServiceName(it); });
	if (in->policy) {
		state.policy = PolicyFromWire(*in->policy);
	}
	return state;
}

std::string EncodeCancellation(const StoredCancellation &cancellation)
{
	wire::CancellationRecordT out;
	out.format = RECORD_FORMAT;
	out.route = cancellation.route.Value();
	out.config = cancellation.config;
	out.relayed = cancellation.relayed;
	return PackRecord<wire::CancellationRecord>(out);
}

StoredCancellation DecodeCancellation(std::string_view bytes)
{
	const auto in = UnpackRecord<wire::CancellationRecord>(bytes);
	if (!in) {
		return StoredCancellation{};
	}
	return StoredCancellation{RouteName(in->route), in->config, in->relayed};
}

std::string EncodeRedirect(uint64_t config)
{
	wire::RedirectRecordT out;
	out.format = RECORD_FORMAT;
	out.config = config;
	return PackRecord<wire::RedirectRecord>(out);
}

std::optional<uint64_t> DecodeRedirect(std::string_view bytes)
{
	const auto in = UnpackRecord<wire::RedirectRecord>(bytes);
	return in ? std::optional(in->config) : std::nullopt;
}

std::string KeyOf(const RouteRegistration &registration)
{
	return registration.route.Value() + KEY_SEPARATOR + registration.service.Value();
}

std::string EncodeRegistration(const RouteRegistration &registration)
{
	wire::RegistrationRecordT out;
	out.format = RECORD_FORMAT;
	out.route = registration.route.Value();
	out.service = registration.service.Value();
	out.config = registration.config;
	return PackRecord<wire::RegistrationRecord>(out);
}

std::optional<RouteRegistration> DecodeRegistration(std::string_view bytes)
{
	const auto in = UnpackRecord<wire::RegistrationRecord>(bytes);
	if (!in) {
		return std::nullopt;
	}
	return RouteRegistration{RouteName(in->route), ServiceName(in->service), in->config};
}
