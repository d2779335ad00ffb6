/** @file life_watch.h Which lives of boxes have ended, by what the machines' control lists. */
#ifndef LIFE_WATCH_H
#define LIFE_WATCH_H

#include "machine_control.h"

#include <map>
#include <set>

/**
 * Compares each list of machines with the one before it. A box that has crashed is away for seconds, and until it is
 * back, or its lease has lapsed, its owner can't know that nothing runs there any more. A list that was asked for later
 * tells it at once: a machine that is down runs nothing, and a life doesn't come back.
 */
class LifeWatch {
public:
	/** Takes a list. @param rows The machines, asked for after the list before was answered. @param now The time.
	 * @return Pools of the lives that have ended since. */
	std::set<ServiceName> Take(const std::vector<MachineRow> &rows, Millis now);
	/** @return Lives of a pool that have ended lately. @param pool The pool. */
	[[nodiscard]] std::set<BoxLife> EndedIn(const ServiceName &pool) const;

private:
	/** A life that was listed. */
	struct Listed {
		BoxLife life;     ///< It.
		ServiceName pool; ///< Pool that its machine was in.
		Millis ended_at;  ///< When it was first missed, once it was.
	};

	std::map<BoxName, Listed> last; ///< Life listed last, by machine.
	std::vector<Listed> ended;      ///< Lives that have ended lately.
};

#endif /* LIFE_WATCH_H */
