// Stand-in of the platform's store, as PROTOCOL.md describes it.
#include "store.h"

#include <algorithm>
#include <rapidjson/document.h>

namespace rv {

namespace {

constexpr int GROUP_PARTS = 12;
constexpr size_t PAGE = 500;

std::string Base64(const std::string &bytes)
{
	static const char *const SIGNS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	std::string out;
	for (size_t n = 0; n < bytes.size(); n += 3) {
		unsigned value = 0;
		for (size_t k = 0; k < 3; k++) {
			value = value << 8U | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
		}
		for (size_t k = 0; k < 4; k++) {
			out += k > 0 && n + k > bytes.size() ? '=' : SIGNS[value >> (18 - 6 * k) & 63U];
		}
	}
	return out;
}

std::string BigEndian(unsigned long long value, int bytes)
{
	std::string out;
	for (int n = bytes - 1; n >= 0; n--) {
		out += static_cast<char>(value >> (8 * n) & 255U);
	}
	return out;
}

unsigned long long NumberOf(const Request &request, const char *name, unsigned long long fallback = 0)
{
	const auto it = request.query.find(name);
	return it == request.query.end() ? fallback : std::stoull(it->second);
}

Response Json(int status, const std::string &body)
{
	return Response{status, body};
}

} // namespace

void Store::Put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
	Partition &part = this->partitions[{topic, 0}];
	part.newest[key] = part.records.size();
	part.records.push_back(Record{key, value});
	if (!value) {
		part.newest.erase(key);
	}
}

void Store::Tick()
{
	for (auto &[name, group] : this->groups) {
		this->Expire(group);
	}
	while (!this->later.empty() && this->later.front().first <= NowMs()) {
		const auto run = this->later.front().second;
		this->later.pop_front();
		run();
	}
}

Response Store::Append(const Request &request)
{
	Partition &part = this->partitions[{request.query.at("topic"), static_cast<int>(NumberOf(request, "part"))}];
	const unsigned long long end = part.records.size();
	const bool produced = request.query.contains("producer");
	const unsigned long long epoch = NumberOf(request, "epoch");
	const unsigned long long sequence = NumberOf(request, "call-seq");
	if (produced) {
		const Producer &seen = part.producers[request.query.at("producer")];
		if (epoch < seen.epoch) {
			return Json(409, R"({"reason":"fenced"})");
		}
		if (epoch == seen.epoch && sequence != seen.last + 1) {
			for (const auto &[number, answer] : seen.answers) {
				if (number == sequence) {
					return Json(200, answer);
				}
			}
			return Json(409, R"({"reason":"seq","call-seq":)" + std::to_string(seen.last + 1) + "}");
		}
	}
	if (request.query.contains("at") && NumberOf(request, "at") != end) {
		return Json(412, "{\"end\":" + std::to_string(end) + "}");
	}
	for (size_t from = 0; from + 4 <= request.body.size();) {
		size_t length = 0;
		for (size_t n = 0; n < 4; n++) {
			length = length << 8U | static_cast<unsigned char>(request.body[from + n]);
		}
		const std::string raw = request.body.substr(from + 4, length);
		from += 4 + length;
		const size_t key_length = static_cast<unsigned char>(raw.at(0));
		Record record{raw.substr(1, key_length), std::nullopt};
		if (raw.size() > 1 + key_length) {
			record.value = raw.substr(1 + key_length);
		}
		part.newest[record.key] = part.records.size();
		if (!record.value) {
			part.newest.erase(record.key);
		}
		part.records.push_back(record);
	}
	const std::string answer =
			"{\"offset\":" + std::to_string(end) + ",\"end\":" + std::to_string(part.records.size()) + "}";
	if (produced) {
		Producer &seen = part.producers[request.query.at("producer")];
		if (epoch > seen.epoch) {
			seen.answers.clear();
		}
		seen.epoch = epoch;
		seen.last = sequence;
		seen.answers.emplace_back(sequence, answer);
		if (seen.answers.size() > 5) {
			seen.answers.pop_front();
		}
	}
	return Json(200, answer);
}

Response Store::Newest(const Request &request)
{
	const Partition &part = this->partitions[{request.query.at("topic"), static_cast<int>(NumberOf(request, "part"))}];
	const auto after = request.query.find("after");
	auto it = after == request.query.end() ? part.newest.begin() : part.newest.upper_bound(after->second);
	std::string items;
	for (size_t n = 0; n < PAGE && it != part.newest.end(); n++, ++it) {
		items += (items.empty() ? "" : ",");
		items += "{\"tls-key\":\"" + it->first + "\",\"value\":\"" + Base64(*part.records[it->second].value) +
				 "\",\"offset\":" + std::to_string(it->second) + "}";
	}
	return Json(200, "{\"items\":[" + items + "],\"more\":" + (it == part.newest.end() ? "false" : "true") +
							 ",\"end\":" + std::to_string(part.records.size()) + "}");
}

void Store::Deal(Group &group)
{
	group.generation++;
	std::map<std::string, int> load;
	std::erase_if(group.holder, [&](const auto &it) { return !group.until.contains(it.second); });
	group.target.clear();
	if (group.until.empty()) {
		return;
	}
	const int most = (GROUP_PARTS + static_cast<int>(group.until.size()) - 1) / static_cast<int>(group.until.size());
	for (const auto &[part, member] : group.holder) {
		if (load[member] < most) {
			group.target[part] = member;
			load[member]++;
		}
	}
	for (int part = 0; part < GROUP_PARTS; part++) {
		if (!group.target.contains(part)) {
			const auto least =
					std::min_element(group.until.begin(), group.until.end(),
									 [&](const auto &a, const auto &b) { return load[a.first] < load[b.first]; });
			group.target[part] = least->first;
			load[least->first]++;
		}
		if (!group.holder.contains(part)) {
			group.holder[part] = group.target[part];
		}
	}
}

void Store::Expire(Group &group)
{
	const size_t before = group.until.size();
	std::erase_if(group.until, [](const auto &it) { return it.second < NowMs(); });
	if (group.until.size() != before) {
		this->Deal(group);
	}
}

Response Store::Join(const Request &request)
{
	rapidjson::Document json;
	json.Parse(request.body.c_str());
	Group &group = this->groups[json["group"].GetString()];
	const std::string member = json["member"].GetString();
	if (request.path == "/v1/log-leave") {
		if (group.until.erase(member) > 0) {
			this->Deal(group);
		}
		return Json(200, "{}");
	}
	group.topic = json["topics"][0].GetString();
	const bool added = !group.until.contains(member);
	group.until[member] = NowMs() + json["ttl_ms"].GetInt64();
	if (added) {
		this->Deal(group);
	}
	/* Who joins with the newest generation has let go of what is no longer listed. */
	if (json["generation"].GetUint64() >= group.generation) {
		for (auto &[part, holder] : group.holder) {
			holder = holder == member ? group.target[part] : holder;
		}
	}
	std::string parts;
	for (const auto &[part, target] : group.target) {
		if (target == member && group.holder[part] == member) {
			parts += (parts.empty() ? "" : ",");
			parts += "[\"" + group.topic + "\"," + std::to_string(part) + ",0]";
		}
	}
	return Json(200, "{\"generation\":" + std::to_string(group.generation) + ",\"ttl_ms\":" +
							 std::to_string(json["ttl_ms"].GetInt64()) + ",\"parts\":[" + parts + "]}");
}

Pending Store::Handle(const Request &request)
{
	const long long due = NowMs() + this->answer_ms;
	const auto at = [due](const Response &answer) -> Pending {
		return [due, answer]() { return NowMs() >= due ? std::optional(answer) : std::nullopt; };
	};
	if (request.path == "/v1/log-append") {
		const std::string topic = request.query.at("topic");
		const int part = static_cast<int>(NumberOf(request, "part"));
		this->writes++;
		const AppendFate fate = this->fate ? this->fate(topic, part, request) : AppendFate::NORMAL;
		const std::string what = "append " + topic + "/" + std::to_string(part) +
								 " epoch=" + std::to_string(NumberOf(request, "epoch")) +
								 " seq=" + std::to_string(NumberOf(request, "call-seq")) +
								 " bytes=" + std::to_string(request.body.size());
		if (fate == AppendFate::LATE) {
			this->late++;
			this->note("store: " + what + ": no answer, done " + std::to_string(this->late_ms) + " ms later");
			this->later.emplace_back(NowMs() + this->late_ms, [this, request, what] {
				this->note("store: late " + what + ": " + std::to_string(this->Append(request).status));
			});
			return [] {
				Response lost;
				lost.silent = true;
				return std::optional(lost);
			};
		}
		const Response answer = this->Append(request);
		if (topic.starts_with("keyed.jobs") && (answer.status != 200 || request.body.size() > 70)) {
			this->note("store: " + what + ": " + std::to_string(answer.status));
		}
		return at(answer);
	}
	if (request.path == "/v1/log-read") {
		const auto key = std::make_pair(request.query.at("topic"), static_cast<int>(NumberOf(request, "part")));
		const unsigned long long source = NumberOf(request, "source");
		const long long until = NowMs() + static_cast<long long>(NumberOf(request, "wait-ms"));
		return [this, key, source, until, due]() -> std::optional<Response> {
			const Partition &part = this->partitions[key];
			if (NowMs() < due || (part.records.size() <= source && NowMs() < until)) {
				return std::nullopt;
			}
			Response out;
			out.type = "application/octet-stream";
			out.body = BigEndian(part.records.size(), 8) + BigEndian(0, 8);
			for (size_t n = source; n < part.records.size() && out.body.size() < 1000000; n++) {
				const Record &it = part.records[n];
				const std::string raw =
						std::string(1, static_cast<char>(it.key.size())) + it.key + it.value.value_or("");
				out.body += BigEndian(raw.size(), 4) + raw;
			}
			return out;
		};
	}
	if (request.path == "/v1/log-newest") {
		return at(this->Newest(request));
	}
	if (request.path == "/v1/log-join" || request.path == "/v1/log-leave") {
		return at(this->Join(request));
	}
	if (request.path == "/v1/log-owners") {
		const Group &group = this->groups[request.query.at("group")];
		std::string rows;
		for (const auto &[part, holder] : group.holder) {
			rows += (rows.empty() ? "" : ",");
			rows += "[\"" + group.topic + "\"," + std::to_string(part) + ",\"" + holder + "\",0]";
		}
		return at(Json(200, "{\"owners\":[" + rows + "]}"));
	}
	return at(Json(200, "{}"));
}

} // namespace rv
