/** @file main.cpp glade_clients: node processes on loopback beside clients that misbehave. */
#include "clients_world.h"

#include "program/logging.h"
#include "program/program.h"

#include <QCoreApplication>

#include <filesystem>
#include <iostream>

namespace {

constexpr const char *USAGE = R"(glade_clients: runs glade_node processes beside clients that misbehave, and checks
that the processes keep within the memory of their machines and that ordinary jobs are accepted and run.

Usage:
  glade_clients play --node PROGRAM --folder FOLDER [--kind KIND] [--door DOOR] [--clients N] [--seconds N] [--seed N] [--port N] [--memory-mb N]
  glade_clients crowd --kind KIND --door DOOR --port N --clients N --seconds N
  glade_clients kinds
  glade_clients (-h | --help)
  glade_clients --version

Options:
  --node PROGRAM   Path of glade_node.
  --folder FOLDER  Settings and logs of the nodes; created if missing.
  --kind KIND      Kind of clients; without it there are none.
  --door DOOR      Where they connect: jobs, no-route, no-key, ready, metrics or nodes [default: jobs].
  --clients N      Number of clients [default: 100].
  --seconds N      How long they go on [default: 6].
  --seed N         Seed for ordinary callers [default: 1].
  --port N         First port of the nodes, which take four each; for a crowd, the port that it connects to [default: 32000].
  --memory-mb N    Memory of a node's machine [default: 160].
  -h --help        Show this.
  --version        Show the version.
)";

int RunCrowd(ParsedArguments &args)
{
	const std::optional<Door> door = DoorNamed(args["--door"].asString());
	const std::string kind = args["--kind"].asString();
	if (!door || !MakeClientKind(kind)) {
		std::cerr << "no such kind or door\n";
		return static_cast<int>(ExitCode::EC_USAGE);
	}
	ClientCrowd crowd(CrowdSpec{kind, *door, static_cast<quint16>(args["--port"].asLong()),
								static_cast<uint32_t>(args["--clients"].asLong()),
								Millis(args["--seconds"].asLong() * MS_PER_SECOND)});
	crowd.Run();
	std::cout << crowd.Summary() << '\n';
	return static_cast<int>(ExitCode::EC_OK);
}

int Play(ParsedArguments &args, const std::string &self)
{
	ClientsOptions options;
	options.program = args["--node"].asString();
	options.folder = args["--folder"].asString();
	options.self = self;
	options.kind = args["--kind"] ? args["--kind"].asString() : std::string();
	options.door = args["--door"].asString();
	options.clients = static_cast<uint32_t>(args["--clients"].asLong());
	options.span = Millis(args["--seconds"].asLong() * MS_PER_SECOND);
	options.seed = static_cast<uint32_t>(args["--seed"].asLong());
	options.first_port = static_cast<quint16>(args["--port"].asLong());
	options.memory_mb = args["--memory-mb"].asLong();
	if (!DoorNamed(options.door) || (!options.kind.empty() && !MakeClientKind(options.kind))) {
		std::cerr << "no such kind or door\n";
		return static_cast<int>(ExitCode::EC_USAGE);
	}
	std::filesystem::create_directories(options.folder);
	SetUpLogging("glade_clients", "info");
	ClientsWorld world(options);
	if (!world.Start([] { QCoreApplication::exit(0); })) {
		std::cerr << "the servers of the test can't listen\n";
		return static_cast<int>(ExitCode::EC_ADDRESS);
	}
	QCoreApplication::exec();
	const std::vector<std::string> failures = world.Failures();
	for (const std::string &it : failures) {
		std::cout << "broken: " << it << '\n';
	}
	std::cout << world.Summary() << '\n';
	return static_cast<int>(failures.empty() ? ExitCode::EC_OK : ExitCode::EC_FAILED);
}

} // namespace

int main(int argc, char **argv)
{
	UseEpollEventLoop();
	const QCoreApplication app(argc, argv);
	ParsedArguments args;
	if (const std::optional<int> end = ParseArguments(USAGE, "glade_clients", argc, argv, args); end) {
		return *end;
	}
	if (args["kinds"].asBool()) {
		for (const std::string &it : ClientKindNames()) {
			std::cout << it << '\n';
		}
		return static_cast<int>(ExitCode::EC_OK);
	}
	return args["crowd"].asBool() ? RunCrowd(args) : Play(args, QCoreApplication::applicationFilePath().toStdString());
}
