/*
 * build_set.h - the versions of software that the targets of each service have, or
 * had lately. The set is decided: a stream that may be resumed begins at a version
 * only once that is in it. Where it holds one version of a service, every stream of
 * that service has begun at that one. Not thread-safe.
 */
#ifndef DK_BUILD_SET_H
#define DK_BUILD_SET_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct build_set build_set_t;

build_set_t *build_set_new(void);
void build_set_free(build_set_t *b);
/* Replaces the content by that of a body that build_set_write() made. */
void build_set_read(build_set_t *b, str_t body, int64_t now_us);
void build_set_write(const build_set_t *b, buf_t *out);

/* Adds the version, or notes that it was seen once more. */
void build_set_add(build_set_t *b, str_t service, str_t build, int64_t now_us);
/* Removes what was last seen before since_us. */
void build_set_forget(build_set_t *b, int64_t since_us);
bool build_set_has(const build_set_t *b, str_t service, str_t build);
/* The only version of the service, a view; empty: there are several, or none. */
str_t build_set_only(const build_set_t *b, str_t service);
/* Whether the set holds several versions of the service. */
bool build_set_several(const build_set_t *b, str_t service);
/* Number of services of which the set holds several versions. */
size_t build_set_count_several(const build_set_t *b);
/* Whether a holds several versions of a service of which b does not. */
bool build_set_adds_several(const build_set_t *a, const build_set_t *b);
bool build_set_equal(const build_set_t *a, const build_set_t *b);

#ifdef __cplusplus
}
#endif
#endif
