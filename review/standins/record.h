/** @file record.h Writes what was sent, answered and run to record.txt. */
#ifndef REVIEW_RECORD_H
#define REVIEW_RECORD_H

#include "net/qt_scheduler.h"

#include <fstream>
#include <string>

/** The record of one play: a line an event, with the time in ms since the start. */
class Record {
public:
	Record(QtScheduler &scheduler, const std::string &path)
			: scheduler(scheduler), out(path), started_at(scheduler.Now())
	{
	}

	/** Writes a line. @param who Who did something. @param what What was done. */
	void Write(const std::string &who, const std::string &what)
	{
		this->out << (this->scheduler.Now() - this->started_at).Value() << " ms " << who << ": " << what << std::endl;
	}

private:
	QtScheduler &scheduler;
	std::ofstream out;
	Millis started_at;
};

#endif /* REVIEW_RECORD_H */
