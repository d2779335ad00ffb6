/** @file metrics_page.h Metrics of a node in text form, and its state dump. */
#ifndef METRICS_PAGE_H
#define METRICS_PAGE_H

#include "../request/request_type.h"
#include "node_core.h"

#include <QJsonObject>

/**
 * Dumps the state of a node.
 * @param core The node.
 * @return The state as JSON.
 */
QJsonObject DumpNode(const NodeCore &core);

/** Serves the metrics as text: one metric per line, with name, labels and value. */
class MetricsPage : public RequestHandler {
public:
	/** @param core The node; outlives this object. */
	explicit MetricsPage(const NodeCore &core) : core(core) {}
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

private:
	const NodeCore &core; ///< The node.
};

#endif /* METRICS_PAGE_H */
