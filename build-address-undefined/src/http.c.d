build-address-undefined/src/http.c.o: src/http.c src/http.h src/httpd.h \
 src/reason.h src/util.h src/serve.h src/claim.h src/decided.h \
 src/engine.h src/lease.h src/timer.h src/counter.h src/log.h
src/http.h:
src/httpd.h:
src/reason.h:
src/util.h:
src/serve.h:
src/claim.h:
src/decided.h:
src/engine.h:
src/lease.h:
src/timer.h:
src/counter.h:
src/log.h:
