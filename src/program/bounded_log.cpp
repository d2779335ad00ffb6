/** @file bounded_log.cpp Event log with a rate limit. */
#include "bounded_log.h"

#include "logging.h"

#include <vector>

void RateLimitedLog::Write(const char *event, std::initializer_list<EventField> fields)
{
	auto it = this->windows.find(std::string_view(event));
	if (it == this->windows.end()) {
		it = this->windows.emplace(event, Window{}).first;
	}
	Window &window = it->second;
	const int64_t second = this->scheduler.Now().Value() / MS_PER_SECOND;
	if (window.second != second) {
		if (window.omitted > 0) {
			LogEvent(LogLevel::LL_INFO, "lines_left_out", {{"kind", event}, {"count", std::to_string(window.omitted)}});
		}
		window = Window{second, 0, 0};
	}
	if (window.written >= this->per_second) {
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
