/** @file fair_split.h Max-min fair allocation, plain and weighted. No I/O. */
#ifndef FAIR_SPLIT_H
#define FAIR_SPLIT_H

#include <cstdint>
#include <vector>

/**
 * Max-min fair allocation: no allocation exceeds its demand, and none that is below its demand is smaller than another,
 * apart from rounding.
 * @param wants Demands.
 * @param whole Amount to allocate.
 * @return Allocations, in the order of the demands.
 */
std::vector<uint32_t> FairSplit(const std::vector<uint32_t> &wants, uint32_t whole);

/** A demand and its weight. */
struct WeightedWant {
	double want = 0;   ///< Amount demanded.
	double weight = 1; ///< Weight; greater than 0.
};

/**
 * Weighted max-min fair allocation: no allocation that is below its demand is smaller, per weight, than another.
 * @param wants Demands and their weights.
 * @param whole Amount to allocate; below 0 counts as 0.
 * @return Allocations, in the order of the demands.
 */
std::vector<double> WeightedSplit(const std::vector<WeightedWant> &wants, double whole);

#endif /* FAIR_SPLIT_H */
