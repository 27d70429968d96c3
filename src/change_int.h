/*
 * change_int.h - what change.c and change_org.c share.
 */
#ifndef DK_CHANGE_INT_H
#define DK_CHANGE_INT_H

#include "change.h"
#include "change.pb-c.h"

/* The change that is being applied. */
typedef struct apply_ctx {
	decided_t *d;	     /* tables that only this change references */
	uint64_t index;	     /* log index of the change */
	size_t op_index;     /* of the current operation within the change */
	const char *op_name; /* of the current operation, as in JSON */
	buf_t *error;
} apply_ctx_t;

/*
 * Appends an error message that starts with the current operation and the
 * field, which may be "". Returns -1.
 */
int change_fail(apply_ctx_t *ap, const char *field, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* Returns 0, or -1 with an error if the field is not a valid name. */
int change_check_name(apply_ctx_t *ap, const char *field, const char *name);
/* Appends the error that there is no row of that kind and name; returns -1. */
int change_fail_unknown(apply_ctx_t *ap, const char *field, const char *kind,
			const char *name);
/* Appends a ProtobufCMessage in packed form. */
void change_pack_message(const void *msg, buf_t *out);

/* Operations on templates and organisations: 0, or -1 with an error. */
int change_template_put(apply_ctx_t *ap, const Dk__Template *t);
int change_template_del(apply_ctx_t *ap, const char *name);
int change_org_create(apply_ctx_t *ap, const Dk__Org *o);
int change_org_set(apply_ctx_t *ap, const Dk__Org *o);
int change_org_del(apply_ctx_t *ap, const char *name);

#endif
