/**
 * @file admission.h
 * Admission control for generations of a service whose capacity is insufficient.
 *
 * Takes effect for a service whose stream routes have objectives that differ by
 * ADMISSION_FACTOR or more; the routes with the shorter objective are urgent. The
 * functions tell which part of an engine's KV cache other generations leave free for
 * urgent ones, in which order queued generations are granted, how long they wait, and
 * when a refused caller should return.
 *
 * Designed for some 60 instances that know one another's load with a delay of 0.6 s,
 * and engines with room for seven large generations of 6 s and a queue of at most a
 * few dozen generations at one instance. An urgent generation is short: it takes
 * memory for a fraction of a second, so a small reserve serves many of them.
 *
 * The functions do no I/O and read no clock; @c now_us is a monotonic time.
 */
#ifndef FLAMINGOLATCH_ADMISSION_H
#define FLAMINGOLATCH_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/** Ratio of objectives from which on the routes of a service are told apart. */
#define ADMISSION_FACTOR 2
/** Largest share of a KV cache that is kept free for urgent generations. */
#define ADMISSION_MAX_RESERVE 0.3

enum admission_class {
	ADMISSION_NONE,	  /**< admission control is not in effect */
	ADMISSION_URGENT, /**< of a route with a short objective */
	ADMISSION_OTHER,
	ADMISSION_CLASS_COUNT
};

/** A generation that is placed or queued. */
struct admission_item {
	enum admission_class class;
	uint32_t priority;     /**< 0 is first */
	uint32_t objective_ms; /**< of its route; 0 for none */
	uint64_t tokens;       /**< size that its KV cache is expected to reach */
	const void *customer;  /**< compared only; NULL for none */
	uint64_t due_us;       /**< when it has to be placed for its first event to be in time */
	uint64_t blocked_us;   /**< since when it has been first without room; 0: it has not */
	bool yields;	       /**< set by admission_sort(): its customer holds most of the queue */
};

/** Urgent generations of a service at one instance. */
struct admission_demand {
	double arrived_tokens; /**< since the last update */
	double tokens_per_s;   /**< KV cache that arriving generations need */
	double hold_ms;	       /**< how long one occupies memory; 0 before the first */
};

/** When refused callers return, to one instance. */
struct admission_returns {
	uint64_t next_us; /**< when the caller refused next should return at the earliest */
};

/** What an instance knows of the memory of a service's engines. */
struct admission_room {
	double freed_tokens_per_s; /**< freed by all engines */
	double read_tokens_per_s;  /**< prompt tokens that all engines read */
	uint32_t instances;	   /**< that share it, at least 1 */
	uint64_t queued_tokens;	   /**< of generations queued at this instance */
	uint32_t late_ms;	   /**< by how much the first event would have been late */
	uint32_t left_ms;	   /**< until the caller's deadline */
};

/** Returns the class of a route.
 * @param objective_ms its objective; 0 for none
 * @param shortest_ms the shortest objective of the service's stream routes
 * @param longest_ms the longest */
enum admission_class admission_classify(uint32_t objective_ms, uint32_t shortest_ms,
					uint32_t longest_ms);
/** Returns the name of a class for logs and the state dump. */
const char *admission_class_name(enum admission_class class);
/** Returns the priority that is sent to an engine, 0 to 9. */
uint32_t admission_engine_priority(enum admission_class class, uint32_t rank);

/** Counts the arrival of an urgent generation of that size. */
void admission_demand_arrive(struct admission_demand *demand, uint64_t tokens);
/** Learns for how long an urgent generation was on an engine. */
void admission_demand_end(struct admission_demand *demand, uint32_t hold_ms);
/** Updates the rate of arrivals. @param elapsed_ms since the last update */
void admission_demand_update(struct admission_demand *demand, double elapsed_ms);
/** Returns the KV cache that urgent generations occupy at once by their demand, in tokens. */
double admission_demand_tokens(const struct admission_demand *demand);
/** Returns the share of each KV cache that others leave free.
 * @param urgent_tokens sum of admission_demand_tokens() over all instances
 * @param kv_tokens capacity of the service's engines together */
double admission_reserve(double urgent_tokens, double kv_tokens);

/** Returns when a generation has to be placed.
 * @param spent_ms time that its caller has waited before, in earlier requests
 * @param first_event_ms expected from its placement to the first event */
uint64_t admission_due_us(uint64_t arrived_us, uint32_t spent_ms, uint32_t objective_ms,
			  uint32_t first_event_ms);
/** Sorts queued generations of a service into the order in which they are granted, and sets
 * admission_item::yields. */
void admission_sort(struct admission_item **items, uint32_t count);
/** Tells whether @p item would be granted before @p other; both as sorted. */
bool admission_is_before(const struct admission_item *item, const struct admission_item *other);
/** Tells whether @p item may be granted before @p blocked, which precedes it and has no room. */
bool admission_may_overtake(const struct admission_item *item, const struct admission_item *blocked,
			    uint64_t now_us);
/** Returns how long a generation may be queued, in ms.
 * @param slack_ms time from its arrival until admission_item::due_us
 * @param default_ms the waiting time of other services */
uint32_t admission_wait_ms(uint32_t objective_ms, uint32_t slack_ms, uint32_t default_ms);
/** Returns after how many ms the caller of a refused generation should return.
 * @param tokens size of the generation
 * @param draw random, 0 to 1 */
uint32_t admission_return_ms(struct admission_returns *returns, const struct admission_room *room,
			     uint64_t tokens, double draw, uint64_t now_us);

#endif
