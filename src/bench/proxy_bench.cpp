/** @file proxy_bench.cpp Throughput per core, added latency, memory of idle connections, over loopback sockets. */
#include "bench_output.h"

#include "../entry/lane.h"
#include "../standin/memory/simple_view.h"

#include <QPointer>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <numeric>
#include <unistd.h>

namespace {

using Clock = std::chrono::steady_clock;

constexpr uint32_t ENDPOINTS = 8;      ///< Endpoints of the view, all with the address of one listener.
constexpr uint32_t SLOTS = 128;        ///< Slots of an endpoint; so many that no request waits.
constexpr int STATUS_OK = 200;         ///< HTTP status of a success.
constexpr double NS_PER_SECOND = 1e9;  ///< Nanoseconds in a second.
constexpr int IDLE_CONNECTIONS = 1000; ///< Connections in the memory measurement.
constexpr int PACED_CONNECTIONS = 64;  ///< Connections in the measurement at half load.
constexpr int HALF_LOAD_DIVISOR = 2;   ///< Divides the full rate for half load.

/** @return CPU time of the calling thread in seconds. */
double ThreadCpuSeconds()
{
	timespec now{};
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / NS_PER_SECOND;
}

/** @return Resident memory of this process in bytes. */
double ResidentBytes()
{
	std::ifstream in("/proc/self/statm");
	uint64_t pages = 0;
	in >> pages >> pages;
	return static_cast<double>(pages) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/** Answers every request at once with the same body. */
class FixedResponseHandler : public RequestHandler {
public:
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest) override
	{
		static const std::string _body(200, 'x');
		ResponseHead head;
		head.length = _body.size();
		sink.Begin(head);
		sink.Body(_body);
		sink.End();
		return nullptr;
	}
};

/** A thread with an event loop. */
class EventLoopThread {
public:
	EventLoopThread()
	{
		this->thread.start();
		this->context.moveToThread(&this->thread);
	}

	~EventLoopThread()
	{
		this->thread.quit();
		this->thread.wait();
	}

	void Run(const std::function<void()> &run)
	{
		QMetaObject::invokeMethod(&this->context, run, Qt::BlockingQueuedConnection);
	}

private:
	QThread thread;  ///< Thread that runs the event loop.
	QObject context; ///< Object that lives on the thread, to invoke functions there.
};

/** Endpoint that answers every request at once: a listener on its own thread. */
class FixedResponseEndpoint {
public:
	FixedResponseEndpoint()
	{
		this->loop.Run([this] {
			this->scheduler = std::make_unique<QtScheduler>();
			this->listener = std::make_unique<CallerListener>([this](qintptr socket) {
				this->links.emplace_back(
						new CallerLink(*this->scheduler, this->handler, this->limits, this->open, socket));
			});
			this->listener->listen(QHostAddress::LocalHost, 0);
			this->port = this->listener->serverPort();
		});
	}

	~FixedResponseEndpoint()
	{
		this->loop.Run([this] {
			this->listener.reset();
			for (const QPointer<CallerLink> &link : this->links) {
				delete link.data();
			}
			this->scheduler.reset();
		});
	}

	[[nodiscard]] quint16 Port() const { return this->port; }

private:
	EventLoopThread loop;                     ///< Thread of the endpoint.
	std::unique_ptr<QtScheduler> scheduler;   ///< Clock and timers.
	FixedResponseHandler handler;             ///< Answers the requests.
	CallerLimits limits;                      ///< Limits of connections.
	std::atomic<int> open{0};                 ///< Number of open connections.
	std::unique_ptr<CallerListener> listener; ///< Accepts connections.
	std::vector<QPointer<CallerLink>> links;  ///< Connections accepted so far; null once closed.
	quint16 port = 0;                         ///< Port of the listener.
};

/** Entry with one lane. */
class EntryUnderTest {
public:
	explicit EntryUnderTest(quint16 endpoint)
			: path(EntryIdentity{MemberName("entry"), ZoneName("z"), Incarnation(1)}, GateSettings{}, LeaseTimes{},
				   KeyLimits{}, RequestSettings{}, this->credentials),
			  lane(this->path, CallerLimits{}, CallerLimits{}, DialLimits{Millis(1000), Millis(4000), 600}),
			  listener([this](qintptr socket) { this->lane.AddConnection(socket, false); })
	{
		SimpleViewSpec spec;
		spec.endpoints = ENDPOINTS;
		spec.slots = SLOTS;
		spec.address = "127.0.0.1:" + std::to_string(endpoint);
		const glade::wire::ViewT view = SimpleView(spec);
		this->path.routes.Apply(view, Millis(0));
		this->listener.listen(QHostAddress::LocalHost, 0);
	}

	[[nodiscard]] quint16 Port() const { return this->listener.serverPort(); }

	double CpuSeconds()
	{
		double seconds = 0;
		this->lane.RunOnThread([&] { seconds = ThreadCpuSeconds(); });
		return seconds;
	}

private:
	AnyCaller credentials;   ///< Credentials that accept every caller.
	RequestPath path;        ///< Request path under test.
	Lane lane;               ///< Thread that handles the connections.
	CallerListener listener; ///< Accepts connections, on the thread that created this.
};

/** A caller's connection with at most one request under way. */
class LoadConnection : public QObject, public ResponseHandler {
public:
	LoadConnection(quint16 port, std::vector<double> &latencies) : latencies(latencies)
	{
		QObject::connect(&this->socket, &QTcpSocket::readyRead, this, [this] { this->OnReadable(); });
		this->socket.connectToHost(QHostAddress(QHostAddress::LocalHost), port);
		this->socket.waitForConnected();
		this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
		CallerRequest request;
		request.method = "GET";
		request.target = "/s/x";
		request.headers.Add("Authorization", "Bearer t");
		this->bytes = WriteRequest(request, "127.0.0.1");
	}

	/** Sends a request unless one is under way. */
	void Send()
	{
		if (this->reader) {
			return;
		}
		this->reader = std::make_unique<ResponseReader>(false);
		this->request_begin = Clock::now();
		this->socket.write(this->bytes.data(), static_cast<qint64>(this->bytes.size()));
	}

	[[nodiscard]] bool Busy() const { return this->reader != nullptr; }

	void OnHead(ResponseHead head) override { this->status_ok = head.status == STATUS_OK; }
	void OnBody(std::string_view) override {}

	bool continuous = true; ///< Whether each complete answer is followed by the next request at once.
	uint64_t failures = 0;  ///< Answers with a status other than 200.

private:
	QTcpSocket socket;                      ///< Connection to the port under load.
	std::string bytes;                      ///< Encoded request.
	std::vector<double> &latencies;         ///< Collects latencies in microseconds.
	std::unique_ptr<ResponseReader> reader; ///< Parser of the answer under way, null for none.
	Clock::time_point request_begin;        ///< Time at which the request under way was sent.
	bool status_ok = false;                 ///< Whether the answer under way has status 200.

	void OnReadable()
	{
		const QByteArray data = this->socket.readAll();
		if (!this->reader) {
			return;
		}
		this->reader->Read(std::string_view(data.constData(), static_cast<size_t>(data.size())), *this);
		if (!this->reader->Done()) {
			return;
		}
		this->latencies.push_back(
				std::chrono::duration<double, std::micro>(Clock::now() - this->request_begin).count());
		this->failures += this->status_ok ? 0 : 1;
		this->reader.reset();
		if (this->continuous) {
			this->Send();
		}
	}
};

/** Result of a load run. */
struct LoadResult {
	double per_second = 0; ///< Requests per second.
	double p50 = 0;        ///< Median latency, microseconds.
	double p99 = 0;        ///< 99th percentile of the latency, microseconds.
	uint64_t failures = 0; ///< Answers with a status other than 200.
};

/** @return Quantile at `share` of ascending values, without interpolation; 0 without values. */
double QuantileOf(std::vector<double> &sorted, double share)
{
	return sorted.empty() ? 0
						  : sorted[std::min(static_cast<size_t>(share * static_cast<double>(sorted.size())),
											sorted.size() - 1)];
}

/**
 * Sends requests to a port over loopback connections.
 * @param port Port of the endpoint or of the entry.
 * @param connections Number of connections.
 * @param rate Requests per second, due on the connections in turn; a request due on a busy connection is skipped. With
 * rate 0, each connection sends the next request upon each answer.
 * @param span Length of the run.
 * @return Throughput and latency.
 */
LoadResult RunLoad(quint16 port, int connections, double rate, std::chrono::milliseconds span)
{
	EventLoopThread loop;
	std::vector<double> latencies;
	latencies.reserve(1000000);
	std::vector<std::unique_ptr<LoadConnection>> all;
	std::unique_ptr<QTimer> timer;
	const auto begin = Clock::now();
	loop.Run([&] {
		for (int i = 0; i < connections; i++) {
			all.push_back(std::make_unique<LoadConnection>(port, latencies));
			all.back()->continuous = rate == 0;
		}
		if (rate == 0) {
			std::ranges::for_each(all, [](const auto &it) { it->Send(); });
			return;
		}
		timer = std::make_unique<QTimer>();
		timer->setTimerType(Qt::PreciseTimer);
		/* Requests dispatched so far, with those that busy connections skipped. */
		auto dispatched = std::make_shared<double>(0);
		auto next_index = std::make_shared<size_t>(0);
		QObject::connect(timer.get(), &QTimer::timeout, timer.get(),
						 [&all, dispatched, next_index, rate, start = Clock::now()] {
							 const double due = rate * std::chrono::duration<double>(Clock::now() - start).count();
							 for (; *dispatched < due; *dispatched += 1) {
								 all[(*next_index)++ % all.size()]->Send();
							 }
						 });
		timer->start(1);
	});
	QThread::msleep(static_cast<unsigned long>(span.count()));
	LoadResult result;
	loop.Run([&] {
		timer.reset();
		const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
		result.per_second = static_cast<double>(latencies.size()) / seconds;
		result.failures = std::accumulate(all.begin(), all.end(), uint64_t{0},
										  [](uint64_t n, const auto &it) { return n + it->failures; });
		all.clear();
	});
	std::ranges::sort(latencies);
	result.p50 = QuantileOf(latencies, 0.5);
	result.p99 = QuantileOf(latencies, 0.99);
	return result;
}

/** @return Memory of IDLE_CONNECTIONS idle connections in bytes; both ends are in this process and counted. */
double IdleConnectionBytes(quint16 port)
{
	EventLoopThread loop;
	std::vector<std::unique_ptr<QTcpSocket>> all;
	const double before = ResidentBytes();
	loop.Run([&] {
		for (int i = 0; i < IDLE_CONNECTIONS; i++) {
			all.push_back(std::make_unique<QTcpSocket>());
			all.back()->connectToHost(QHostAddress(QHostAddress::LocalHost), port);
			all.back()->waitForConnected();
		}
	});
	QThread::msleep(300);
	const double after = ResidentBytes();
	loop.Run([&] { all.clear(); });
	return after - before;
}

} // namespace

int RunProxyBench(const BenchOptions &options)
{
	const std::chrono::milliseconds span(options.quick ? 200 : 2000);
	FixedResponseEndpoint endpoint;
	/* The entry's listener needs a running event loop, which this thread does not have while it waits in RunLoad(). */
	EventLoopThread entry_loop;
	std::unique_ptr<EntryUnderTest> entry;
	entry_loop.Run([&] { entry = std::make_unique<EntryUnderTest>(endpoint.Port()); });
	uint64_t failures = 0;
	double full_rate = 0;
	for (const int connections : {1, 8, PACED_CONNECTIONS, 512}) {
		const std::string name = std::to_string(connections) + "_connections";
		const LoadResult direct = RunLoad(endpoint.Port(), connections, 0, span);
		const double cpu_before = entry->CpuSeconds();
		const LoadResult proxied = RunLoad(entry->Port(), connections, 0, span);
		const double cpu_used = entry->CpuSeconds() - cpu_before;
		const double requests = proxied.per_second * std::chrono::duration<double>(span).count();
		failures += proxied.failures;
		full_rate = connections == PACED_CONNECTIONS ? proxied.per_second : full_rate;
		PrintFigure({"proxy", name, "requests_a_second_a_core", requests / std::max(cpu_used, 1e-9), "1/s", "", 0,
					 options.seed});
		PrintFigure({"proxy", name, "requests_a_second", proxied.per_second, "1/s", "direct",
					 proxied.per_second / direct.per_second, options.seed});
		PrintFigure({"proxy", name, "p50", proxied.p50, "us", "direct", proxied.p50 / direct.p50, options.seed});
		PrintFigure({"proxy", name, "p99", proxied.p99, "us", "direct", proxied.p99 / direct.p99, options.seed});
	}
	const LoadResult direct = RunLoad(endpoint.Port(), PACED_CONNECTIONS, full_rate / HALF_LOAD_DIVISOR, span);
	const LoadResult proxied = RunLoad(entry->Port(), PACED_CONNECTIONS, full_rate / HALF_LOAD_DIVISOR, span);
	failures += proxied.failures;
	PrintFigure({"proxy", "half_load", "added_p50", proxied.p50 - direct.p50, "us", "direct", proxied.p50 / direct.p50,
				 options.seed});
	PrintFigure({"proxy", "half_load", "added_p99", proxied.p99 - direct.p99, "us", "direct", proxied.p99 / direct.p99,
				 options.seed});
	PrintFigure({"proxy", "half_load", "requests_a_second", proxied.per_second, "1/s", "", 0, options.seed});
	PrintFigure({"proxy", "idle", "bytes_per_1000_connections", IdleConnectionBytes(entry->Port()), "B", "", 0,
				 options.seed});
	PrintFigure({"proxy", "all", "failures", static_cast<double>(failures), "requests", "", 0, options.seed});
	entry_loop.Run([&] { entry.reset(); });
	return failures == 0 ? 0 : 1;
}
