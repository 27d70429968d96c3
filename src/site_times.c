/* site_times.c - times that follow from the bounds of the settings. */
#include "site_times.h"

#include <glib.h>

#define HEARTBEAT_US (100 * USEC_PER_MSEC)
#define ELECTION_US (450 * USEC_PER_MSEC)
#define LEASE_US (1500 * USEC_PER_MSEC)
#define STALENESS_MAX_US (1800 * USEC_PER_MSEC)
#define LINK_HEARTBEAT_US (500 * USEC_PER_MSEC)
/*
 * With these bounds the times above are met: a silent link is found, a lost leader or
 * relay replaced, and a host that comes back has caught up. They shrink with a bound that
 * is tighter, by half at most, as each heartbeat costs a message.
 */
#define CONTACT_US (3 * USEC_PER_SEC)
#define MANIFEST_DEADLINE_US (2 * USEC_PER_SEC)
#define CATCH_UP_US (4 * USEC_PER_SEC)
#define SCALE_ONE 1000
#define SCALE_MIN (SCALE_ONE / 2)
/*
 * A host with an empty disk becomes a voter within so many election timeouts: a lost leader
 * is replaced, the host hears of the new one and catches up, and the members change twice.
 */
#define JOIN_ELECTIONS 4
/* A voter that is silent for less may have lost messages, or be electing a leader. */
#define LOST_MIN_ELECTIONS 2

static int64_t scale_of(int64_t bound_us, int64_t enough_us)
{
	return bound_us * SCALE_ONE / enough_us;
}

static int64_t scale(const site_settings_t *s)
{
	int64_t least = SCALE_ONE;

	least = MIN(least, scale_of(s->contact_us, CONTACT_US));
	least = MIN(least,
		    scale_of(s->manifest_deadline_us, MANIFEST_DEADLINE_US));
	least = MIN(least, scale_of(s->catch_up_us, CATCH_UP_US));
	return MAX(least, SCALE_MIN);
}

site_times_t site_times(const site_settings_t *s)
{
	int64_t by = scale(s);
	site_times_t t = {
		.heartbeat_us = HEARTBEAT_US * by / SCALE_ONE,
		.election_us = ELECTION_US * by / SCALE_ONE,
		.lease_us = LEASE_US * by / SCALE_ONE,
		.max_staleness_us = STALENESS_MAX_US * by / SCALE_ONE,
		.link_heartbeat_us = LINK_HEARTBEAT_US * by / SCALE_ONE,
	};

	t.voter_lost_us = MAX(s->catch_up_us - JOIN_ELECTIONS * t.election_us,
			      LOST_MIN_ELECTIONS * t.election_us);
	return t;
}
