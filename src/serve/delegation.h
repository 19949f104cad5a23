/**
 * @file delegation.h
 * Lets one instance of a group, the delegate, watch the store for the others,
 * its dependents.
 *
 * Without it, every change of the configuration or of the instance list ends the
 * open call of every instance; with hundreds of instances these calls cost more
 * than anything else. A group is the instances of a zone, or of the whole region
 * if the zone is small. delegate.h decides whom an instance queries and when it
 * watches the store itself. There is no election and no agreement.
 *
 * The delegate sends new configurations, as differences, and changes of the
 * instance list to its dependents when it learns of them. A query states what the
 * dependent has; the delegate replies with the age of its configuration and
 * sends what the dependent lacks, so that a message that was lost delays a change
 * by one query. A starting instance gets all it needs in this way.
 *
 * A reply confirms the configuration as of the time at which the query was sent,
 * less the age that the delegate states, so a late reply confirms nothing newer.
 *
 * Create it after the store watch and the peer exchange, and destroy it before
 * them.
 */
#ifndef FLAMINGOLATCH_SERVE_DELEGATION_H
#define FLAMINGOLATCH_SERVE_DELEGATION_H

#include "peer_exchange.h"
#include "store_watch.h"

struct delegation;

/** Starts to look for a delegate and to answer queries. Sets the callbacks for changes of
 * @p watch and for messages of @p exchange. */
struct delegation *delegation_create(struct env *env, struct store_watch *watch,
				     struct peer_exchange *exchange);
/** Stops the timer and clears the callbacks; @p delegation may be NULL. */
void delegation_destroy(struct delegation *delegation);
/** Returns the bus address of the delegate, or NULL. */
const char *delegation_delegate(const struct delegation *delegation);

#endif
