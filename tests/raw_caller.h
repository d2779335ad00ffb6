/** @file raw_caller.h A plain TCP connection of a caller, and waiting for what happens on it. */
#ifndef RAW_CALLER_H
#define RAW_CALLER_H

#include <QElapsedTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <string>

inline constexpr int WAIT_TIMEOUT_MS = 20000; ///< Time in ms after which a wait has failed; no check depends on less.

/** Runs the event loop until a condition holds. @return Whether it holds. */
inline bool WaitFor(const std::function<bool()> &holds)
{
	QElapsedTimer timer;
	timer.start();
	while (!holds() && timer.elapsed() < WAIT_TIMEOUT_MS) {
		QEventLoop loop;
		QTimer::singleShot(2, &loop, &QEventLoop::quit);
		loop.exec();
	}
	return holds();
}

/** A plain TCP connection of a caller. */
class RawCaller {
public:
	explicit RawCaller(quint16 port)
	{
		this->socket.connectToHost(QHostAddress(QHostAddress::LocalHost), port);
		this->socket.waitForConnected();
		QObject::connect(&this->socket, &QTcpSocket::readyRead,
						 [this] { this->input += this->socket.readAll().toStdString(); });
	}

	void Send(const std::string &bytes) { this->socket.write(bytes.data(), static_cast<qint64>(bytes.size())); }
	void Disconnect() { this->socket.abort(); }
	[[nodiscard]] bool Closed() const { return this->socket.state() == QAbstractSocket::UnconnectedState; }
	[[nodiscard]] bool Has(const std::string &text) const { return this->input.find(text) != std::string::npos; }

	std::string input; ///< All bytes received.

private:
	QTcpSocket socket; ///< The connection.
};

#endif /* RAW_CALLER_H */
