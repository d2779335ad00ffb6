/** @file metrics_page.h Metrics of a node in text form, and its state dump. */
#ifndef METRICS_PAGE_H
#define METRICS_PAGE_H

#include "../net/caller_connections.h"
#include "../request/request_type.h"
#include "config_use.h"
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
	/** @param core The node; outlives this object. @param config_use By which configurations requests were decided;
	 * outlives this object. */
	MetricsPage(const NodeCore &core, const ConfigUseLog &config_use) : core(core), config_use(config_use) {}
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;
	[[nodiscard]] bool WantsBody(const CallerRequest & /*head*/) const override { return false; }
	/** Adds the counts of a listener. @param connections Its connections; outlive this object's last request. */
	void Add(const CallerConnections &connections) { this->listeners.push_back(&connections); }

private:
	std::vector<const CallerConnections *> listeners; ///< Listeners whose counts are served.
	const NodeCore &core;                             ///< The node.
	const ConfigUseLog &config_use;                   ///< By which configurations requests were decided.
};

#endif /* METRICS_PAGE_H */
