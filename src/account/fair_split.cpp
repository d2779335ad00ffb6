/** @file fair_split.cpp Max-min fair allocation, plain and weighted. */
#include "fair_split.h"

#include <algorithm>
#include <numeric>

std::vector<double> WeightedSplit(const std::vector<WeightedWant> &wants, double whole)
{
	std::vector<size_t> order(wants.size());
	std::iota(order.begin(), order.end(), size_t{0});
	std::ranges::sort(order, {}, [&wants](size_t it) { return wants[it].want / wants[it].weight; });
	double weights = std::accumulate(wants.begin(), wants.end(), 0.0,
									 [](double sum, const WeightedWant &it) { return sum + it.weight; });
	std::vector<double> out(wants.size());
	double remaining = std::max(whole, 0.0);
	for (const size_t place : order) {
		out[place] = std::min(wants[place].want, remaining * wants[place].weight / weights);
		remaining -= out[place];
		weights -= wants[place].weight;
	}
	return out;
}

std::vector<uint32_t> FairSplit(const std::vector<uint32_t> &wants, uint32_t whole)
{
	std::vector<size_t> order(wants.size());
	std::iota(order.begin(), order.end(), size_t{0});
	std::ranges::sort(order, {}, [&wants](size_t it) { return wants[it]; });
	std::vector<uint32_t> out(wants.size());
	uint32_t remaining = whole;
	for (size_t n = 0; n < order.size(); n++) {
		const auto others = static_cast<uint32_t>(order.size() - n);
		out[order[n]] = std::min(wants[order[n]], remaining / others);
		remaining -= out[order[n]];
	}
	return out;
}
