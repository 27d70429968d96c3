/*
 * change_int.h - what the files of change.c share: the change being applied.
 */
#ifndef DK_CHANGE_INT_H
#define DK_CHANGE_INT_H

#include "change.h"
#include "change.pb-c.h"

typedef struct apply {
	decided_t *d; /* private to this change */
	uint64_t index;
	size_t op;
	const char *op_name;
	buf_t *error;
} apply_t;

/* Starts the error with operation and field; returns -1. */
int change_fail(apply_t *ap, const char *field, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* 0, or -1 with the error that the field is no name. */
int change_check_name(apply_t *ap, const char *field, const char *name);
/* Reports that there is no such row; returns -1. */
int change_fail_unknown(apply_t *ap, const char *field, const char *what,
			const char *name);
/* Appends a packed message. */
void change_pack_message(const void *msg, buf_t *out);

/* Operations on templates and organisations; 0, or -1 with the error. */
int change_template_put(apply_t *ap, const Dk__Template *t);
int change_template_del(apply_t *ap, const char *name);
int change_org_create(apply_t *ap, const Dk__Org *o);
int change_org_set(apply_t *ap, const Dk__Org *o);
int change_org_del(apply_t *ap, const char *name);

#endif
