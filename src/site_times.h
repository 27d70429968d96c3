/*
 * site_times.h - the times of the state core and of the links between daemons, as the
 * bounds of the settings ask for them.
 */
#ifndef DK_SITE_TIMES_H
#define DK_SITE_TIMES_H

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct site_times {
	int64_t heartbeat_us;	  /* of the replicated log */
	int64_t election_us;	  /* shortest election timeout */
	int64_t lease_us;	  /* session lease of a daemon */
	int64_t max_staleness_us; /* of the decided tables */
	int64_t voter_lost_us;	  /* as in state_cfg_t */
	int64_t link_heartbeat_us;
} site_times_t;

site_times_t site_times(const site_settings_t *s);

#ifdef __cplusplus
}
#endif
#endif
