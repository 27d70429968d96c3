/*
 * lib_bound.h - lower bound on the load stall of any policy that loads on
 * demand, even one that knows all arrivals beforehand.
 *
 * A policy loads on demand if it starts a load of an adapter only while a
 * request for that adapter waits. The bound relaxes the system in the policy's
 * favour: the slots of all engines are one pool, every load takes the store's
 * full-speed time L however many are under way, engines have no batch limit,
 * loads do not fail, and runs do not pin their adapter.
 *
 * Method. Let t(1) <= t(2) <= ... be the arrivals for one adapter. Call the
 * gap before t(k) long if t(k) - t(k-1) > L. For each long gap the policy has
 * two ways: keep the adapter in a slot during all of [t(k-1) + L, t(k)], or
 * not. Each way not taken costs L of stall, and no two long gaps share it:
 *
 *   Let x(1) < x(2) < ... be moments, one in [t(k-1) + L, t(k)] of each long
 *   gap not kept, at which the adapter has no slot. Between x(i) and x(i+1)
 *   lies the arrival t(k) that ends the i-th such gap, and x(i+1) >= t(k) + L.
 *   If that request is not served before t(k) + L, it waits at least L inside
 *   (x(i), x(i+1)). If it is, a load began after x(i), when the adapter had
 *   no slot, and ended by then; the load was on demand, so a request for the
 *   adapter waited during all of its time L, inside (x(i), x(i+1)). So the
 *   integral of waiting requests over each of these disjoint intervals is at
 *   least L.
 *
 * At any moment at most S intervals can be kept, S being the number of slots.
 * So the stall is at least L times (long gaps - the most intervals that can be
 * kept with at most S at once). That maximum is found exactly by the greedy
 * method for k-colourable subgraphs of interval graphs (Carlisle and Lloyd,
 * 1995; Faigle and Nawijn, 1995): take intervals by their start, and when more
 * than S overlap, drop the one that ends last. It is Belady's rule (1966) on
 * gaps.
 *
 * The first arrival of an adapter in a phase counts as the end of a long gap
 * that cannot be kept if no request for it came since the start of the trace
 * (the engines start empty). An arrival whose gap began in the warm-up is left
 * out where the earlier request's deadline reaches into the phase, as that
 * request's wait belongs to the warm-up. Requests that are not answered are
 * charged their wait and at least L by the bench, so the bound holds for them.
 */
#ifndef DK_DEV_BOUND_H
#define DK_DEV_BOUND_H

#include "lib_deploy.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bound {
	uint32_t requests; /* of the phase proper */
	uint64_t loads;	   /* gaps not kept */
	double stall_s;
} bound_t;

bound_t bound_stall(const deploy_t *d, const phase_t *ph,
		    const GArray *arrivals);

/*
 * Most of the n intervals [from, to) that can be kept with at most slots of
 * them at any moment.
 */
typedef struct gap {
	int64_t from_us, to_us;
} gap_t;
size_t bound_keep(gap_t *gaps, size_t n, size_t slots);

#ifdef __cplusplus
}
#endif
#endif
