/** @file resources_type.h Resources that tasks require and boxes have. */
#ifndef RESOURCES_TYPE_H
#define RESOURCES_TYPE_H

#include <cstdint>

/** Resources of a box, or those that a task requires. */
struct Resources {
	int64_t cpu = 0;          ///< CPU, in thousandths of a core.
	int64_t memory = 0;       ///< Memory, MB.
	int64_t accelerators = 0; ///< Number of accelerator devices.

	/** @param demand Required resources. @return Whether they fit into these resources. */
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

	/** @param count Multiplier. @return These resources multiplied by it. */
	[[nodiscard]] Resources Times(int64_t count) const
	{
		return Resources{this->cpu * count, this->memory * count, this->accelerators * count};
	}

	bool operator==(const Resources &) const = default;
};

#endif /* RESOURCES_TYPE_H */
