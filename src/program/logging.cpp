/** @file logging.cpp Structured log lines by easylogging++. */
#include "logging.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace {

std::string _program;                ///< On every line; set once before threads start.
LogLevel _least = LogLevel::LL_INFO; ///< Least level written; set once before threads start.

/** Quotes a value that holds blanks or quotes. */
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
		_least = LogLevel::LL_DEBUG;
	} else if (level == "info") {
		_least = LogLevel::LL_INFO;
	} else if (level == "warning") {
		_least = LogLevel::LL_WARNING;
	} else if (level == "error") {
		_least = LogLevel::LL_ERROR;
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
	if (level < _least) {
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
