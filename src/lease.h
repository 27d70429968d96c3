/*
 * lease.h - what the state core tells the serving core about this daemon's
 * leases, the leader and the live hosts.
 */
#ifndef DK_LEASE_H
#define DK_LEASE_H

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Status of this daemon in the cluster. The holder of a lease counts it from
 * the time at which it sent the renewal. The leader waits for the length of the
 * lease plus the allowed clock drift before it assigns the daemon's targets to
 * another host.
 */
typedef struct lease_status {
	/*
	 * Time until which this daemon may send work and orders to its targets.
	 */
	int64_t lease_until_us;
	/*
	 * Time until which this daemon may accept new requests, because its
	 * tables have been confirmed.
	 */
	int64_t tables_fresh_until_us;
	/* The tables here hold all that was decided before this time. */
	int64_t tables_confirmed_us;
	host_id_t leader; /* 0 while unknown */
	uint64_t term;
	bool is_leader; /* this daemon leads, and a quorum has confirmed it */
	/* The leader before it was idle when it handed over; see state_leave(). */
	bool predecessor_idle;
	/* Hosts with a session, by ascending id; valid during the call only. */
	const host_id_t *live;
	size_t n_live;
} lease_status_t;

#ifdef __cplusplus
}
#endif
#endif
