/** @file resources_type.h What tasks take of boxes. */
#ifndef RESOURCES_TYPE_H
#define RESOURCES_TYPE_H

#include <cstdint>

/** What a task takes of a box, or a box has. */
struct Resources {
	int64_t cpu = 0;          ///< Thousandths of a core.
	int64_t memory = 0;       ///< MB.
	int64_t accelerators = 0; ///< Whole devices.

	/** @return Whether a demand fits in here. */
	[[nodiscard]] bool Holds(const Resources &demand) const
	{
		return demand.cpu <= this->cpu && demand.memory <= this->memory && demand.accelerators <= this->accelerators;
	}

	Resources &operator+=(const Resources &other)
	{
		this->cpu += other.cpu;
		this->memory += other.memory;
		this->accelerators += other.accelerators;
		return *this;
	}

	Resources &operator-=(const Resources &other)
	{
		this->cpu -= other.cpu;
		this->memory -= other.memory;
		this->accelerators -= other.accelerators;
		return *this;
	}

	/** @return What so many of these take together. @param count How many. */
	[[nodiscard]] Resources Times(int64_t count) const
	{
		return Resources{this->cpu * count, this->memory * count, this->accelerators * count};
	}

	bool operator==(const Resources &) const = default;
};

#endif /* RESOURCES_TYPE_H */
