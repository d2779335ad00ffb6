/** @file odd_bytes.h Sound samples that the tests of odd bytes start from. */
#ifndef ODD_BYTES_H
#define ODD_BYTES_H

#include "job_world.h"
#include "net/http_caller.h"

#include <string>

/** @return Answer of a box with a status of 200. @param body Its body. */
inline HttpReply ReplyOf(const std::string &body)
{
	HttpReply reply;
	reply.result = CallResult::CR_ANSWERED;
	reply.status = 200;
	reply.body = body;
	return reply;
}

/** @return A valid report of a box. @param member One more member, or none. @param address Address of the box. */
inline std::string ReportBytes(const std::string &member = "", const std::string &address = "10.0.0.1:80")
{
	const bool has_capacity = member.find("capacity") != std::string::npos;
	return R"({"service":"s","address":")" + address +
		   R"(","zone":"z","state":"ready","machine":"m-1","labels":["a","r1"],)" +
		   (has_capacity ? "" : R"("capacity":{"cpu":16000,"mem-mb":32768},)") + (member.empty() ? "" : member + ",") +
		   R"("call-seq":4})";
}

/** @return A valid job. */
inline JobSpec MakeJob()
{
	JobSpec spec;
	spec.id = JobId("aaaaaaaaaaaaaaa1");
	spec.route = RouteName("r-calc");
	spec.steps = JobWorld::Chain(2);
	return spec;
}

#endif /* ODD_BYTES_H */
