#include "bench_output.h"
int RunProxyBench(const BenchOptions &)
{
	return 0;
}
int RunCapacityBench(const BenchOptions &)
{
	return 0;
}
