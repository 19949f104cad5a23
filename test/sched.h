/**
 * @file sched.h
 * Deterministic scheduler in virtual time, shared by the simulation tests.
 *
 * A test runs one function per seed. Scheduled callbacks run in order of their
 * time; those with the same time run in the order in which they were scheduled.
 * --seeds=N sets how many seeds run; --replay=SEED runs one seed and prints its
 * trace.
 */
#ifndef FLAMINGOLATCH_TEST_SCHED_H
#define FLAMINGOLATCH_TEST_SCHED_H

#include <stdbool.h>
#include <stdint.h>

struct sched;

typedef void (*sched_cb)(void *arg);
/** Runs one seed.
 * @return true when every check held */
typedef bool (*sched_case)(struct sched *sched);

/** Returns the virtual time since the start of the seed. */
uint64_t sched_now_us(const struct sched *sched);
uint64_t sched_seed(const struct sched *sched);
/** Schedules @p cb to run after a delay. */
void sched_after(struct sched *sched, uint64_t delay_us, sched_cb cb, void *arg);
/** Returns a random number below @p limit; 0 when @p limit is 0. */
uint32_t sched_rand(struct sched *sched, uint32_t limit);
/** Returns true with a probability of @p percent. */
bool sched_chance(struct sched *sched, uint32_t percent);
/** Runs callbacks until none is left or the next one is later than @p until_us. */
void sched_run(struct sched *sched, uint64_t until_us);
/** Prints a line with the virtual time; does nothing without --replay. */
void sched_trace(struct sched *sched, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/** Prints a violated invariant; the seed then counts as failed.
 * @return false, to be used as the result of a check */
bool sched_violation(struct sched *sched, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Runs the seeds from 1 to @p seeds, or those chosen by the options; stops
 * after 3 failed seeds.
 * @param name printed with the result
 * @return exit code of the test program: 0 when all seeds passed, else 1 */
int sched_main(int argc, char **argv, const char *name, uint64_t seeds, sched_case run);

#endif
