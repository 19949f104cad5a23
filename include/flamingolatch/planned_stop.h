/**
 * @file planned_stop.h
 * Which requests an instance accepts while it stops, and when it answers those
 * that are still open.
 *
 * The load that this answers: callers keep sending on the connections that they
 * have until the process is gone, and the upstreams of a crowded service take
 * seconds, so that how long a request will last is not known. While the balancer
 * still sends callers, what can be expected to end before the exit is accepted;
 * from then on only what has to be answered by then at the latest, because its own
 * deadline ends before. A refused caller finds another instance at once; one whose
 * request was passed on and cut may not send it again.
 *
 * planned_stop_begin() at the signal; planned_stop_accepts() before a request is
 * passed on to an upstream, also after it was queued or for another attempt;
 * planned_stop_must_answer() regularly. All zeros is an instance that does not
 * stop. The module does no I/O and reads no clock. Times are monotonic, in us.
 */
#ifndef FLAMINGOLATCH_PLANNED_STOP_H
#define FLAMINGOLATCH_PLANNED_STOP_H

#include <stdbool.h>
#include <stdint.h>

/** Time from the signal until the balancer has seen two failing readiness probes and sends callers
 * elsewhere, in us. */
#define PLANNED_STOP_BALANCER_LAG_US 2700000ULL

struct planned_stop {
	uint64_t begun_us;  /**< 0: the instance does not stop */
	uint64_t answer_us; /**< when what is open is answered */
	uint64_t exit_us;   /**< when the process exits at the latest */
};

/** Begins the stop. Does nothing when it has begun.
 * @param grace_us time from the signal until the process is killed
 * @param signal_us when the signal came at the earliest */
void planned_stop_begin(struct planned_stop *stop, uint64_t grace_us, uint64_t signal_us);
/** Tells whether the instance stops. */
bool planned_stop_has_begun(const struct planned_stop *stop);
/**
 * Tells whether a request may be passed on to an upstream.
 * @param deadline_us when the request is answered at the latest, by the upstream or by us
 * @param expected_us how long the upstream is expected to need
 */
bool planned_stop_accepts(const struct planned_stop *stop, uint64_t deadline_us,
			  uint64_t expected_us, uint64_t now_us);
/** Tells whether the time has come to answer all requests that are open. */
bool planned_stop_must_answer(const struct planned_stop *stop, uint64_t now_us);
/** Tells whether an instance without open requests may exit: callers are sent elsewhere. */
bool planned_stop_may_exit(const struct planned_stop *stop, uint64_t now_us);
/** Tells whether the process has to exit, whatever is open. */
bool planned_stop_must_exit(const struct planned_stop *stop, uint64_t now_us);

#endif
