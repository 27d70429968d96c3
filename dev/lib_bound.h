/*
 * lib_bound.h - a lower bound on the total load stall of any policy that loads
 * on demand, even of a clairvoyant one, which knows all arrivals beforehand.
 *
 * Load stall is the time that requests wait for their adapter to become
 * resident. A policy loads on demand if it starts a load of an adapter only
 * while a request for that adapter waits. The bound relaxes the system in the
 * policy's favour: the slots of all engines are one pool, every load takes the
 * store's full-speed time L however many are in progress, engines have no batch
 * limit, loads do not fail, and runs do not pin their adapter.
 *
 * Method. Let t(1) <= t(2) <= ... be the arrivals for one adapter. Call the
 * gap before t(k) long if t(k) - t(k-1) > L. In each long gap the policy either
 * keeps the adapter in a slot during all of [t(k-1) + L, t(k)] or does not.
 * Each long gap that is not kept costs L of stall, and no two of them share it:
 *
 *   Let x(1) < x(2) < ... be moments, one in [t(k-1) + L, t(k)] of each long
 *   gap that is not kept, at which the adapter has no slot. Between x(i) and
 *   x(i+1) lies the arrival t(k) that ends the i-th such gap, and
 *   x(i+1) >= t(k) + L.
 *
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
 * 1995; Faigle and Nawijn, 1995): take the intervals by ascending start, and
 * when more than S overlap, drop the one that ends last. It is Belady's
 * replacement rule (1966), applied to gaps.
 *
 * An arrival in the phase that is the first for its adapter since the start of
 * the trace counts as the end of a long gap that cannot be kept, because the
 * engines start empty. A gap that began in the warm-up is left out where the
 * deadline of a warm-up request for the adapter reaches into the phase, because
 * the wait of that request belongs to the warm-up. The bench charges a request
 * that is not answered its wait and at least L, so the bound holds for it too.
 */
#ifndef DK_DEV_BOUND_H
#define DK_DEV_BOUND_H

#include "lib_deploy.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bound {
	uint32_t requests; /* of the phase, without the warm-up */
	uint64_t loads;	   /* long gaps that are not kept */
	double stall_s;
} bound_t;

/* Returns the bound for a phase; arrivals: as of deploy_arrivals(). */
bound_t bound_stall(const deploy_t *d, const phase_t *ph,
		    const GArray *arrivals);

/*
 * Returns the largest number of the n intervals [from, to) that can be kept
 * with at most slots of them at any moment. Sorts gaps.
 */
typedef struct gap {
	int64_t from_us, to_us;
} gap_t;
size_t bound_keep(gap_t *gaps, size_t n, size_t slots);

#ifdef __cplusplus
}
#endif
#endif
