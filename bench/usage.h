/**
 * @file usage.h
 * Processor time and memory of a running process, read from /proc/PID.
 */
#ifndef FLAMINGOLATCH_BENCH_USAGE_H
#define FLAMINGOLATCH_BENCH_USAGE_H

/** Processor time since the start of the process. */
struct usage {
	double user_s;
	double system_s;
};

/** Returns the processor time of a process; zeros if it has exited. */
struct usage usage_read(int pid);
/** Returns the resident memory of a process in bytes; 0 if it has exited. */
double usage_resident_bytes(int pid);

#endif
