/*
 * admin.h - the operators' interface: JSON over HTTP, apart from the HTTP
 * library, so that tests call it directly.
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

/* What admin.c needs of the daemon. */
typedef struct admin_ops {
	/*
	 * Proposes a packed change and waits for its outcome, at most
	 * timeout_us; error of *out is copied into *error.
	 */
	void (*propose)(void *ctx, const void *change, size_t n,
			int64_t timeout_us, change_outcome_t *out,
			buf_t *error);
	decided_t *(*tables)(void *ctx); /* the caller owns one reference */
	void (*status)(void *ctx, buf_t *json);
	/* Known in-force revisions, from the leader; see host_revision_t. */
	size_t (*host_revisions)(void *ctx, host_revision_t *out, size_t max);
	void (*explain)(void *ctx, str_t model, buf_t *json);
	void (*drain)(void *ctx);
	/* Address of the operators' port of the leader; false if unknown. */
	bool (*leader_addr)(void *ctx, buf_t *addr);
} admin_ops_t;

/*
 * Handles one request, already authenticated. path without query; query is
 * the raw query string, may be empty.
 */
void admin_handle(const admin_ops_t *ops, void *ctx, str_t method, str_t path,
		  str_t query, str_t body, admin_reply_t *reply);

#ifdef __cplusplus
}
#endif
#endif
