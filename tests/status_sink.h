/** @file status_sink.h A caller's end that keeps the status of its answer. */
#ifndef STATUS_SINK_H
#define STATUS_SINK_H

#include "request/request_type.h"

/** A caller's end that keeps the status. */
class StatusSink : public CallerSink {
public:
	void Begin(const ResponseHead &head) override { this->status = head.status; }
	void Body(std::string_view) override {}
	void End() override {}
	void Abort() override {}
	[[nodiscard]] bool Congested() const override { return false; }
	int status = 0; ///< Status of the answer; 0 before.
};

#endif /* STATUS_SINK_H */
