/*
 * lease.h - what the state core tells serving about this daemon's leases.
 */
#ifndef DK_LEASE_H
#define DK_LEASE_H

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The lease_status of this daemon. A holder counts its lease from the moment it
 * sent the renewal; the leader waits the lease plus clock drift out before it
 * assigns the daemon's targets to another.
 */
typedef struct lease_status {
	int64_t lease_until_us; /* may send work and orders to owned targets */
	int64_t tables_fresh_until_us; /* may accept new requests: tables confirmed */
	int64_t tables_confirmed_us; /* all decided until then is in force here */
	host_id_t leader;	     /* 0 while unknown */
	uint64_t term;
	bool is_leader; /* this daemon leads, and a quorum confirmed it */
	/* Hosts with a session, ascending; valid during the call only. */
	const host_id_t *live;
	size_t n_live;
} lease_status_t;

#ifdef __cplusplus
}
#endif
#endif
