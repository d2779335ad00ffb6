/** @file bounded_log.cpp Event log with a rate limit. */
#include "bounded_log.h"

#include "logging.h"

#include <vector>

namespace {

/** Factor of the limit for lines about lasting tasks: the loss of a zone ends some hundred of these at once. */
constexpr uint32_t LASTING_LIMIT_FACTOR = 25;

} // namespace

void RateLimitedLog::Write(const char *event, std::initializer_list<EventField> fields)
{
	this->WriteWithin(this->windows, this->per_second, event, fields);
}

void RateLimitedLog::WriteLasting(const char *event, std::initializer_list<EventField> fields)
{
	this->WriteWithin(this->lasting_windows, this->per_second * LASTING_LIMIT_FACTOR, event, fields);
}

void RateLimitedLog::WriteWithin(Windows &kinds, uint32_t limit, const char *event,
								 std::initializer_list<EventField> fields)
{
	auto it = kinds.find(std::string_view(event));
	if (it == kinds.end()) {
		it = kinds.emplace(event, Window{}).first;
	}
	Window &window = it->second;
	const int64_t second = this->scheduler.Now().Value() / MS_PER_SECOND;
	if (window.second != second) {
		if (window.omitted > 0) {
			LogEvent(LogLevel::LL_INFO, "lines_left_out", {{"kind", event}, {"count", std::to_string(window.omitted)}});
		}
		window = Window{second, 0, 0};
	}
	if (window.written >= limit) {
		window.omitted++;
		this->dropped++;
		return;
	}
	window.written++;
	std::vector<LogField> out;
	out.reserve(fields.size());
	for (const EventField &field : fields) {
		out.push_back(LogField{field.key, field.value});
	}
	LogEvent(LogLevel::LL_INFO, event, out);
}
