/**
 * @file sched.h
 * Seeded scheduler in virtual time, shared by the tests of decision modules.
 *
 * A test runs one function per seed. Events run in order of their time; equal
 * times run in the order of their scheduling. With --replay=SEED one seed runs
 * and prints its trace.
 */
#ifndef FLAMINGOLATCH_TEST_SCHED_H
#define FLAMINGOLATCH_TEST_SCHED_H

#include <stdbool.h>
#include <stdint.h>

struct sched;

typedef void (*sched_cb)(void *arg);
/** Runs one seed. @return true when every check held */
typedef bool (*sched_case)(struct sched *sched);

uint64_t sched_now_us(const struct sched *sched);
uint64_t sched_seed(const struct sched *sched);
/** Runs @p cb after a delay. */
void sched_after(struct sched *sched, uint64_t delay_us, sched_cb cb, void *arg);
/** Returns a number below @p limit. */
uint32_t sched_rand(struct sched *sched, uint32_t limit);
/** Returns true in @p percent of the calls. */
bool sched_chance(struct sched *sched, uint32_t percent);
/** Runs events until none is left, or until the time is over. */
void sched_run(struct sched *sched, uint64_t until_us);
/** Prints a line when a trace was asked for. */
void sched_trace(struct sched *sched, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/** Reports a violated promise. @return false, for the case's result */
bool sched_violation(struct sched *sched, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Runs all seeds from 1 to @p seeds, or those that the options name
 * (--seeds=N, --replay=SEED).
 * @return the exit code of the test */
int sched_main(int argc, char **argv, const char *name, uint64_t seeds, sched_case run);

#endif
