/*
 * admin.h - the operators' interface: JSON over HTTP. It does not depend on
 * the HTTP library, so that tests can call it directly.
 */
#ifndef DK_ADMIN_H
#define DK_ADMIN_H

#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct admin_reply {
	int http_status;
	buf_t body; /* owned by the caller */
	const char *content_type;
} admin_reply_t;

/*
 * Callbacks into the daemon. Each gets the ctx given to admin_handle().
 */
typedef struct admin_ops {
	/*
	 * Proposes a packed change and waits at most timeout_us for its
	 * outcome. Appends the text of the error, if any, to *error.
	 */
	void (*propose)(void *ctx, const void *change, size_t n,
			int64_t timeout_us, change_outcome_t *out,
			buf_t *error);
	/* The current tables; the caller owns one reference. */
	decided_t *(*tables)(void *ctx);
	/* Appends the state of this daemon as a JSON object. */
	void (*status)(void *ctx, buf_t *json);
	/*
	 * Fills in at most max live hosts and the revision that each has
	 * applied. Returns how many live hosts there are, which may be more
	 * than max; 0 where this daemon is not the leader.
	 */
	size_t (*host_revisions)(void *ctx, host_revision_t *out, size_t max);
	/* Appends where a request for model would run now, and why. */
	void (*explain)(void *ctx, str_t model, buf_t *json);
	/* Starts the graceful shutdown of this daemon. */
	void (*drain)(void *ctx);
	/*
	 * Appends the "ip:port" of the leader's operators' port; false where
	 * it is not known.
	 */
	bool (*leader_addr)(void *ctx, buf_t *addr);
} admin_ops_t;

/*
 * Handles one request, whose token the caller has checked. path excludes the
 * query; query is the raw query string and may be empty. Fills *reply.
 */
void admin_handle(const admin_ops_t *ops, void *ctx, str_t method, str_t path,
		  str_t query, str_t body, admin_reply_t *reply);

#ifdef __cplusplus
}
#endif
#endif
