/** @file resources_type.h Resources that tasks require and boxes have. */
#ifndef RESOURCES_TYPE_H
#define RESOURCES_TYPE_H

#include <algorithm>
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

/**
 * Expresses an amount of resources by CPU alone: by the resource of which it takes the largest part of a capacity.
 * @param amount The amount.
 * @param capacity The capacity; resources that it doesn't have are not counted.
 * @return Thousandths of a core.
 */
[[nodiscard]] inline int64_t DominantCpu(const Resources &amount, const Resources &capacity)
{
	const auto as_cpu = [&capacity](int64_t used, int64_t total) {
		return total == 0 ? 0.0
						  : static_cast<double>(used) / static_cast<double>(total) * static_cast<double>(capacity.cpu);
	};
	const double most =
			std::max(as_cpu(amount.memory, capacity.memory), as_cpu(amount.accelerators, capacity.accelerators));
	return std::max(amount.cpu, static_cast<int64_t>(most));
}

#endif /* RESOURCES_TYPE_H */
