/** @file metrics_page.h Counters of a node as text, and its state dump. */
#ifndef METRICS_PAGE_H
#define METRICS_PAGE_H

#include "../request/request_type.h"
#include "node_core.h"

#include <QJsonObject>

/** @return The node's state, for the dump. @param core The node. */
QJsonObject DumpNode(const NodeCore &core);

/** Serves GET of counters: a line each, name, labels, value. */
class MetricsPage : public RequestHandler {
public:
	/** @param core The node; outlives this. */
	explicit MetricsPage(const NodeCore &core) : core(core) {}
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

private:
	const NodeCore &core; ///< The node.
};

#endif /* METRICS_PAGE_H */
