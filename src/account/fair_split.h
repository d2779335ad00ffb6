/** @file fair_split.h Splits what there is over those who want some. Pure. */
#ifndef FAIR_SPLIT_H
#define FAIR_SPLIT_H

#include <cstdint>
#include <vector>

/**
 * Max-min fair split: nobody gets more than they want, and who gets less than they want gets as much as any other.
 * @param wants What each wants.
 * @param whole What there is.
 * @return What each gets, in the same order.
 */
std::vector<uint32_t> FairSplit(const std::vector<uint32_t> &wants, uint32_t whole);

/** Who wants a part, and how much of it they may count on. */
struct WeightedWant {
	double want = 0;   ///< What they want.
	double weight = 1; ///< Their weight; over 0.
};

/**
 * The same by weights: who gets less than they want gets as much for their weight as any other.
 * @param wants What each wants.
 * @param whole What there is.
 * @return What each gets, in the same order.
 */
std::vector<double> WeightedSplit(const std::vector<WeightedWant> &wants, double whole);

#endif /* FAIR_SPLIT_H */
