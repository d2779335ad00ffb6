/** @file test_odd_inputs.cpp Random changes of valid bytes, fed to all decoders of what others write. */
#include "../platform/box_answer.h"
#include "../platform/job_parser.h"
#include "../platform/platform_feed.h"
#include "../platform/record_frame.h"
#include "jobs/progress_records.h"
#include "jobs/route_codec.h"
#include "net/address_func.h"
#include "odd_bytes.h"
#include "store/owner_record.h"

#include <doctest/doctest.h>

#include <boost/random/mersenne_twister.hpp>

#include <cstdlib>

namespace {

/** A valid configuration. */
const std::string CONFIG_BYTES =
		R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/","service":"s","priority":0,)"
		R"("max-attempts":4,"stretch":2.2,"target-latency-ms":600}],"services":[{"name":"s"}],"tenants":[]})";
/** A valid answer to a lease order. */
const std::string LEASE_BYTES =
		R"({"clock-ms":482113,"born":1700000000000,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00ff",41,250]],)"
		R"("finished":[[58,"5c0e7a21d94b36f8.3.1.9",1,"done",""]]})";
const BoxIncarnation INCARNATION{BoxId("i-1"), Millis(1700000000000)};

LeaseAnswer LeaseOf(const std::string &body)
{
	return ReadLeaseAnswer(ReplyOf(body), INCARNATION);
}

/** Feeds changed samples to all decoders. The same inputs on each run. */
class OddInputs {
public:
	/** Makes one input and feeds it to each decoder. */
	void FeedNext()
	{
		const std::string bytes = this->Changed(this->samples[this->Pick(this->samples.size())]);
		this->taken += DecodeReport(BoxId("i-1"), bytes).report ? 1 : 0;
		this->taken += DecodeConfig(bytes) ? 1 : 0;
		this->taken += DecodeWave(bytes) ? 1 : 0;
		this->taken += LeaseOf(bytes).running.size() + LeaseOf(bytes).ended.size();
		this->taken += ReadOrderAnswer(ReplyOf(bytes)).box_clock ? 1 : 0;
		this->taken += ParseJob(JobId("aaaaaaaaaaaaaaa1"), bytes).result.Ok() ? 1 : 0;
		this->taken += DecodeSubmission(JobId("aaaaaaaaaaaaaaa1"), bytes) ? 1 : 0;
		this->taken += DecodeProgress(bytes) ? 1 : 0;
		this->taken += DecodeOwner(bytes) ? 1 : 0;
		this->taken += DecodeRoute(bytes) ? 1 : 0;
		this->taken += DecodeRedirect(bytes) ? 1 : 0;
		this->taken += DecodeRegistration(bytes) ? 1 : 0;
		this->taken += DecodeCancellation(bytes).relayed ? 1 : 0;
		this->taken += ParsePeerAddress(bytes.substr(0, ADDRESS_BYTES)) ? 1 : 0;
		this->taken += ParseInboxKey(bytes.substr(0, KEY_BYTES)).is_cancellation ? 1 : 0;
		this->taken += ParseProgressKey(bytes.substr(0, KEY_BYTES)).first_task;
		std::vector<KeyedRecord> records;
		this->taken += DecodeRecords(bytes, records) ? 1 : 0;
	}

	uint64_t taken = 0; ///< What the decoders have accepted.

private:
	static constexpr size_t ADDRESS_BYTES = 24; ///< Longest text that is parsed as an address.
	static constexpr size_t KEY_BYTES = 255;    ///< Longest key.
	static constexpr size_t CHANGES_MAX = 4;    ///< Largest number of changes to a sample.

	boost::random::mt19937_64 random{76}; ///< Random source.
	std::vector<std::string> samples{
			ReportBytes(R"("born":1700000000123,"remaining-ms":900,"cold-remaining-ms":5)"),
			CONFIG_BYTES,
			R"({"wave":2,"machines":["m-1"],"duration-s":20,"maximum":3})",
			LEASE_BYTES,
			R"({"spec":"x","steps":[{"count":4,"cpu":500,"est-runtime-ms":900},{"count":2,"after":[0]}],"interval-ms":5})",
			EncodeSubmission(MakeJob()),
			EncodeProgress(
					StoredProgress{JobPhase::JP_RUNNING, RouteName("r"), Millis(1), 2, {StoredTask{}}, 0, 1, true}),
			EncodeOwner(StoredOwner{3, "10.0.0.1:7060", false, Millis(9)}),
			EncodeRoute(RouteState{}),
			EncodeRecords({KeyedRecord{"k", "v"}, KeyedRecord{"l", std::nullopt}}),
	};
	std::vector<std::string> pieces{
			"1e300", "-1", "9223372036854775807", "18446744073709551616", "[[[[", "{\"a\":", "null", "\"", "\xff\xfe",
			"65536", "]",  std::string(4, '\0')};

	size_t Pick(size_t n) { return static_cast<size_t>(this->random() % n); }

	std::string Changed(std::string bytes)
	{
		const size_t changes = 1 + this->Pick(CHANGES_MAX);
		for (size_t n = 0; n < changes; n++) {
			const size_t at = this->Pick(bytes.size() + 1);
			switch (this->Pick(5)) {
			case 0:
				bytes.insert(at, this->pieces[this->Pick(this->pieces.size())]);
				break;
			case 1:
				bytes.erase(at, this->Pick(9));
				break;
			case 2:
				bytes.insert(at, bytes.substr(this->Pick(bytes.size() + 1), this->Pick(64)));
				break;
			case 3:
				bytes.replace(at, std::min<size_t>(bytes.size() - at, 5),
							  this->pieces[this->Pick(this->pieces.size())]);
				break;
			default:
				if (at < bytes.size()) {
					bytes[at] = static_cast<char>(this->random());
				}
			}
		}
		return bytes;
	}
};

} // namespace

/* GLADE_ODD_INPUTS: number of inputs, for long runs by hand under sanitizers. */
TEST_CASE("odd bytes: no decoder ends the process, whatever it is given")
{
	constexpr uint64_t INPUTS = 20'000;
	const char *number = std::getenv("GLADE_ODD_INPUTS");
	const uint64_t inputs = number == nullptr ? INPUTS : std::strtoull(number, nullptr, 10);
	OddInputs odd;
	for (uint64_t n = 0; n < inputs; n++) {
		odd.FeedNext();
	}
	CHECK(odd.taken > 0);
}
