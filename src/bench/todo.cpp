#include "bench_output.h"
int RunFoldBench(const BenchOptions &)
{
	return 0;
}
int RunJobsBench(const BenchOptions &)
{
	return 0;
}
int RunConfigBench(const BenchOptions &)
{
	return 0;
}
int RunProxyBench(const BenchOptions &)
{
	return 0;
}
int RunCapacityBench(const BenchOptions &)
{
	return 0;
}
