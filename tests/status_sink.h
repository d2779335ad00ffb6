/** @file status_sink.h A response sink that records only the HTTP status. */
#ifndef STATUS_SINK_H
#define STATUS_SINK_H

#include "request/request_type.h"

/** A response sink that records the HTTP status and drops the body. */
class StatusSink : public CallerSink {
public:
	void Begin(const ResponseHead &head) override { this->status = head.status; }
	void Body(std::string_view) override {}
	void End() override {}
	void Abort() override {}
	[[nodiscard]] bool Congested() const override { return false; }
	int status = 0; ///< HTTP status of the response; 0 until it has begun.
};

#endif /* STATUS_SINK_H */
