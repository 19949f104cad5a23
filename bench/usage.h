/**
 * @file usage.h
 * Processor time and memory of a running process, from its /proc entry.
 */
#ifndef FLAMINGOLATCH_BENCH_USAGE_H
#define FLAMINGOLATCH_BENCH_USAGE_H

/** Processor time used so far. */
struct usage {
	double user_s;
	double system_s;
};

/** Returns zeros when the process is gone. */
struct usage usage_of(int pid);
/** Returns the resident memory, 0 when the process is gone. */
double usage_resident_bytes(int pid);

#endif
