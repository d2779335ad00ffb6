/** @file logging.cpp Structured log lines by easylogging++. */
#include "logging.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace {

std::string _program;                    ///< Name of the program; set once before threads start.
LogLevel _min_level = LogLevel::LL_INFO; ///< Lowest severity written; set once before threads start.

/** Quotes a value that is empty or contains white space, quotes or '='; newlines become blanks. */
std::string Quoted(const std::string &value)
{
	if (!value.empty() && value.find_first_of(" \t\n\"=") == std::string::npos) {
		return value;
	}
	std::string out = "\"";
	for (const char c : value) {
		if (c == '"' || c == '\\') {
			out += '\\';
		}
		out += c == '\n' ? ' ' : c;
	}
	return out + '"';
}

} // namespace

bool SetUpLogging(const std::string &program, const std::string &level)
{
	_program = program;
	if (level == "debug") {
		_min_level = LogLevel::LL_DEBUG;
	} else if (level == "info") {
		_min_level = LogLevel::LL_INFO;
	} else if (level == "warning") {
		_min_level = LogLevel::LL_WARNING;
	} else if (level == "error") {
		_min_level = LogLevel::LL_ERROR;
	} else {
		return false;
	}
	el::Configurations conf;
	conf.setToDefault();
	conf.setGlobally(el::ConfigurationType::ToFile, "false");
	conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
	conf.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
	el::Loggers::reconfigureAllLoggers(conf);
	el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
	return true;
}

void LogEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields)
{
	LogEvent(level, event, std::span<const LogField>(fields.begin(), fields.size()));
}

void LogEvent(LogLevel level, const char *event, std::span<const LogField> fields)
{
	if (level < _min_level) {
		return;
	}
	std::string line = "program=" + _program + " event=" + event;
	for (const LogField &field : fields) {
		line += std::string(" ") + field.key + "=" + Quoted(field.value);
	}
	switch (level) {
	case LogLevel::LL_DEBUG:
		LOG(DEBUG) << line;
		break;
	case LogLevel::LL_INFO:
		LOG(INFO) << line;
		break;
	case LogLevel::LL_WARNING:
		LOG(WARNING) << line;
		break;
	case LogLevel::LL_ERROR:
		LOG(ERROR) << line;
		break;
	}
}
